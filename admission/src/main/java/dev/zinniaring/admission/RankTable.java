package dev.zinniaring.admission;

import dev.zinniaring.model.Rank;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** The ranks sorted by urgency; index 0 is the most urgent. */
final class RankTable {
    private final int[] orders;
    private final double[] floorShares;

    RankTable(Collection<Rank> ranks) {
        List<Rank> sorted = ranks.stream().sorted(Comparator.comparingInt(Rank::order)).toList();
        if (sorted.isEmpty()) {
            throw new IllegalArgumentException("ranks must not be empty");
        }
        this.orders = sorted.stream().mapToInt(Rank::order).toArray();
        this.floorShares = sorted.stream().mapToDouble(Rank::floorShare).toArray();
    }

    int size() {
        return orders.length;
    }

    int order(int index) {
        return orders[index];
    }

    double floorShare(int index) {
        return floorShares[index];
    }

    /** Returns the index of the rank with {@code order}, or the last index if there is none. */
    int indexOf(int order) {
        for (int index = 0; index < orders.length; index++) {
            if (orders[index] == order) {
                return index;
            }
        }
        return orders.length - 1;
    }
}
