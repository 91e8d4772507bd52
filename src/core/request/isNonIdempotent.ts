/**
 * @module
 * Tells which calls of a plain service may run at most once.
 */
import type { Service } from "../catalogue/catalogueEntry.js";

/** The path without query, with dots and escapes resolved, as the service will see it. */
function normalizePath(path: string): string {
    try {
        return decodeURIComponent(new URL(path.replace(/^\/+/, "/"), "http://service").pathname).replace(/\/+/g, "/");
    }
    catch {
        return path;
    }
}

/**
 * Tells whether a call may not be repeated.
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
