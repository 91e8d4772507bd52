/**
 * @module
 * Format of the ids in the catalogue.
 */
import * as z from "zod";

/** Schema of an id. */
export const identifier = z.string().regex(
    /^[a-z0-9][a-z0-9._-]{0,62}$/,
    "expected 1 to 63 of a-z, 0-9, \".\", \"_\", \"-\"",
);
