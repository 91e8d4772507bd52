/**
 * @module
 * Matches calls of a plain service that may run at most once.
 */
import type { Service } from "../catalogue/catalogueEntry.js";

/** Returns the path without query, with dot segments and escapes resolved as the service resolves them. */
function normalizePath(path: string): string {
    try {
        return decodeURIComponent(new URL(path.replace(/^\/+/, "/"), "http://service").pathname).replace(/\/+/g, "/");
    }
    catch {
        return path;
    }
}

/**
 * Checks whether a call is not idempotent, so that it may run at most once.
 *
 * @param service - The service's catalogue entry.
 * @param method - HTTP method of the call.
 * @param path - Path of the call at the service.
 * @returns True when one of the entry's patterns matches method and path prefix.
 * @example
 * isNonIdempotent(bookingService, "POST", "/bookings/confirm"); // true
 */
export function isNonIdempotent(service: Service, method: string, path: string): boolean {
    const normalized = normalizePath(path);
    return service.unrepeatableCalls.some(pattern => {
        const [patternMethod, patternPath] = pattern.split(" ");
        return patternMethod === method && normalized.startsWith(patternPath ?? "/");
    });
}
