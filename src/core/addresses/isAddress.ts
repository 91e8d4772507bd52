/**
 * @module
 * Checks addresses that come from outside the process.
 */

const octet = "(25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)";
const addressPattern = new RegExp(`^${octet}(\\.${octet}){3}:([1-9]\\d{0,4})$`);
const maxPort = 65_535;

/**
 * Returns whether a text names a host and a port to which a connection can be opened.
 *
 * @param text - The text.
 * @returns True for an IPv4 address and a port from 1 to 65535, as "ip:port".
 * @example
 * isAddress("10.0.0.1:8080"); // true
 * isAddress("10.0.0.1:99999"); // false
 */
export function isAddress(text: string): boolean {
    return addressPattern.test(text) && Number(text.slice(text.indexOf(":") + 1)) <= maxPort;
}
