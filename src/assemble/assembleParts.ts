/**
 * @module
 * Assembles the feeds of prompt part events from engines and from prompt cache stores.
 */
import { logInternalFailure } from "../core/logEvents/logInternalFailure.js";
import { isFeedReader } from "../core/placement/isFeedReader.js";
import { followPartEvents, type PartHolder } from "../io/parts/followPartEvents.js";
import type { Fleet } from "./assembleFleet.js";
import type { InstanceViews } from "./assembleViews.js";
import type { InstanceContext } from "./routerPorts.js";

/** A reachable prompt cache store. */
export interface CacheStore {
    readonly id: string;
    readonly address: string;
    readonly failureDomain: string;
}

/** The feeds of prompt part events. */
export interface PartFeeds {
    /** Returns the cache stores that answered their last read. */
    readonly listStores: () => readonly CacheStore[];
    /** Starts the feeds of new holders and stops the feeds of removed ones. */
    readonly refresh: () => void;
    readonly stop: () => void;
}

/** A holder and its running feed. */
interface HolderFeed {
    readonly holder: PartHolder;
    readonly stop: () => void;
    isReachable: boolean;
}

function isSameHolder(left: PartHolder, right: PartHolder): boolean {
    return left.address === right.address && left.maxReaders === right.maxReaders;
}

/**
 * Creates the feeds; none is started before the first refresh.
 *
 * @param context - The instance.
 * @param views - The views that are updated.
 * @param fleet - The instances among which the feeds are divided.
 * @returns The feeds.
 */
export function assembleParts(context: InstanceContext, views: InstanceViews, fleet: Fleet): PartFeeds {
    const { ports, clock, settings } = context;
    const feeds = new Map<string, HolderFeed>();

    function listHolders(): readonly PartHolder[] {
        const services = views.routes()?.table.services ?? [];
        return services.flatMap((service): readonly PartHolder[] => {
            const { engine, cacheStore } = service;
            if (cacheStore !== undefined) {
                const { address, maxReaders } = cacheStore;
                return [{ id: service.name, address, isNamed: false, maxReaders, isListed: true }];
            }
            if (engine === undefined) {
                return [];
            }
            const { maxReaders } = engine;
            return views.registry.listService(service.name)
                .map(({ id, address }) => ({ id, address, isNamed: true, maxReaders, isListed: false }));
        });
    }

    function follow(holder: PartHolder): void {
        const feed: HolderFeed = {
            holder,
            isReachable: false,
            stop: followPartEvents({
                holder,
                read: ports.readPartEvents,
                list: ports.listParts,
                clock,
                isReader: () => {
                    const others = fleet.listLive().map(member => member.instance.name);
                    return isFeedReader(holder.id, settings.instance, others, holder.maxReaders);
                },
                onEvents: events => views.parts.applyEvents(holder.id, events),
                onReset: () => views.parts.removeHolder(holder.id),
                onListed: parts => context.writeLog("partsListed", { holder: holder.id, parts }),
                onError: error => logInternalFailure(context.writeLog, error),
                onReachable: isReachable => {
                    feed.isReachable = isReachable;
                },
            }),
        };
        feeds.set(holder.id, feed);
    }

    function refresh(): void {
        const holders = new Map(listHolders().map(holder => [holder.id, holder]));
        for (const [id, feed] of feeds) {
            const holder = holders.get(id);
            if (holder === undefined || !isSameHolder(holder, feed.holder)) {
                feed.stop();
                feeds.delete(id);
                views.parts.removeHolder(id);
            }
        }
        [...holders.values()].filter(holder => !feeds.has(holder.id)).forEach(follow);
    }

    function listStores(): readonly CacheStore[] {
        const services = views.routes()?.table.services ?? [];
        return services.flatMap(service =>
            service.cacheStore !== undefined && feeds.get(service.name)?.isReachable === true
                ? [{ id: service.name, ...service.cacheStore }]
                : []
        );
    }

    return {
        listStores,
        refresh,
        stop: () => feeds.forEach(feed => feed.stop()),
    };
}
