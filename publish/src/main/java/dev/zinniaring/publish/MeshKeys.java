package dev.zinniaring.publish;

import java.util.regex.Pattern;

/** Keys of the rows and objects of a mesh on the platform. */
record MeshKeys(String mesh) {
    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

    MeshKeys {
        if (!NAME.matcher(mesh).matches()) {
            throw new IllegalArgumentException(
                    "mesh name must consist of lower-case letters, digits and hyphens, was "
                            + mesh);
        }
    }

    String head() {
        return "mesh/" + mesh + "/head";
    }

    String version(long number) {
        return "mesh/" + mesh + "/version/" + number;
    }

    String token(String token) {
        return "mesh/" + mesh + "/token/" + token;
    }

    String marks() {
        return "mesh/" + mesh + "/mark/";
    }

    String mark(String seed) {
        return marks() + seed;
    }

    String delta(String baseHash, String hash) {
        return "deltas/" + baseHash + "/" + hash;
    }

    String body(String hash) {
        return "tables/" + hash;
    }
}
