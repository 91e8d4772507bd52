/**
 * @module
 * Discovery of the other instances: each registers its heartbeat address in the store and reads those of the others.
 */
import { isAddress } from "../core/addresses/isAddress.js";
import type { InstanceContext } from "./routerPorts.js";

/** Discovery in progress. */
export interface PeerDiscovery {
    /** Whether the addresses of the others were read from the store. */
    readonly isDone: () => boolean;
    readonly stop: () => void;
}

/** Dependencies of {@link discoverPeers}. */
export interface PeerDiscoveryOptions {
    /** "ip:port" at which this instance receives heartbeats. */
    readonly heartbeatAddress: string;
    readonly addContacts: (addresses: readonly string[]) => void;
    /** Whether no other instance has been heard of. */
    readonly isAlone: () => boolean;
}

/** Interval between reads of the instances' topic after the start, in milliseconds. */
const intervalMs = 1_000;

/** Maximum length of a malformed address in the log. */
const maxLoggedLength = 80;

/** Number of reads of the instances' topic after the start. */
const maxReads = 4;

/**
 * Starts the discovery; it begins anew when the store comes back from an older copy.
 *
 * @param context - The instance.
 * @param options - The own address, and the receiver of the others'.
 * @returns The discovery.
 */
export function discoverPeers(context: InstanceContext, options: PeerDiscoveryOptions): PeerDiscovery {
    const { settings, clock, random, ports, writeLog } = context;
    const { topics, store } = ports;
    let isRegistered = false;
    let isDone = false;
    let isStopped = false;

    async function discover(attempt: number): Promise<void> {
        if (!isRegistered) {
            const address = Buffer.from(options.heartbeatAddress);
            const put = await store.putKeyed(topics.instances, settings.instance, address);
            isRegistered = put.kind === "appended";
        }
        const read = await store.readNewest(topics.instances);
        if (read.kind === "newest") {
            isDone = true;
            const values = read.records.flatMap(record => (record.value === undefined ? [] : [record.value]));
            const addresses = values.map(value => Buffer.from(value).toString());
            addresses.filter(address => !isAddress(address)).forEach(address => {
                writeLog("recordRejected", { topic: topics.instances, detail: address.slice(0, maxLoggedLength) });
            });
            options.addContacts(addresses.filter(isAddress));
        }
        const needsMore = options.isAlone() || !isRegistered || !isDone;
        if (attempt + 1 < maxReads && !isStopped && needsMore) {
            clock.after(intervalMs, () => void discover(attempt + 1));
        }
    }
    void discover(0);

    // The addresses that were registered since the copy are gone.
    ports.storeEra.subscribe(event => {
        if (event.kind === "returned") {
            isRegistered = false;
            clock.after(random() * intervalMs, () => void discover(0));
        }
    });

    return {
        isDone: () => isDone,
        stop: () => {
            isStopped = true;
        },
    };
}
