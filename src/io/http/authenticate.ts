/**
 * @module
 * Checks a caller's credential against the catalogue.
 */
import { createHash, timingSafeEqual } from "node:crypto";
import { err, ok, type Result } from "true-myth/result";
import { type Catalogue, findEntry } from "../../core/catalogue/catalogue.js";
import type { Customer } from "../../core/catalogue/catalogueEntry.js";
import { createRefusal, type Refusal } from "../../core/errors/createRefusal.js";

/**
 * Finds the customer that a request is accounted to.
 *
 * @param catalogue - The catalogue in force.
 * @param authorization - The header "Bearer CUSTOMER:SECRET".
 * @returns The customer, or an `unknownCustomer` or `wrongCredential` refusal.
 */
export function authenticate(catalogue: Catalogue, authorization: string | undefined): Result<Customer, Refusal> {
    const [id = "", secret = ""] = (authorization ?? "").replace(/^Bearer /, "").split(":", 2);
    const customer = findEntry(catalogue, "customer", id);
    if (customer === undefined) {
        return err(createRefusal("unknownCustomer", "expected \"Authorization: Bearer CUSTOMER:SECRET\""));
    }
    const digest = createHash("sha256").update(secret).digest();
    if (!timingSafeEqual(digest, Buffer.from(customer.credentialSha256, "hex"))) {
        return err(createRefusal("wrongCredential", `customer "${customer.id}"`));
    }
    return ok(customer);
}
