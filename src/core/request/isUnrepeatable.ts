/**
 * @module
 * Tells which calls of a plain service may run at most once.
 */
import type { Service } from "../catalogue/catalogueEntry.js";

/**
 * Tells whether a call may not be repeated.
 *
 * @param service - The service's catalogue entry.
 * @param method - HTTP method of the call.
 * @param path - Path of the call at the service.
 * @returns True when one of the entry's patterns matches method and path prefix.
 * @example
 * isUnrepeatable(bookingService, "POST", "/bookings/confirm"); // true
 */
export function isUnrepeatable(service: Service, method: string, path: string): boolean {
    return service.unrepeatableCalls.some(pattern => {
        const [patternMethod, patternPath] = pattern.split(" ");
        return patternMethod === method && path.startsWith(patternPath ?? "/");
    });
}
