/**
 * @module
 * Assembles the reading of events from engines and from stores of kept cache.
 */
import { isFeedReader } from "../core/placement/isFeedReader.js";
import { followPartEvents, type PartHolder } from "../io/parts/followPartEvents.js";
import type { Fleet } from "./assembleFleet.js";
import type { InstanceViews } from "./assembleViews.js";
import type { InstanceContext } from "./routerPorts.js";

/** A store of kept cache that answers. */
export interface CacheStore {
    readonly id: string;
    readonly address: string;
    readonly failureDomain: string;
}

/** What is read. */
export interface PartFeeds {
    /** Stores that answered their last read. */
    readonly listStores: () => readonly CacheStore[];
    /** Follows holders that came, and stops following those that went. */
    readonly refresh: () => void;
    readonly stop: () => void;
}

interface Followed {
    readonly holder: PartHolder;
    readonly stop: () => void;
    isReachable: boolean;
}

function isSameHolder(left: PartHolder, right: PartHolder): boolean {
    return left.address === right.address && left.maxReaders === right.maxReaders;
}

/**
 * Prepares the reading; nothing is followed before the first refresh.
 *
 * @param context - The instance.
 * @param views - Take the events.
 * @param fleet - The instances among which the reading is divided.
 * @returns The feeds.
 */
export function assembleParts(context: InstanceContext, views: InstanceViews, fleet: Fleet): PartFeeds {
    const { ports, clock, settings } = context;
    const followed = new Map<string, Followed>();

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
        const entry: Followed = {
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
                onReachable: isReachable => {
                    entry.isReachable = isReachable;
                },
            }),
        };
        followed.set(holder.id, entry);
    }

    function refresh(): void {
        const holders = new Map(listHolders().map(holder => [holder.id, holder]));
        for (const [id, entry] of followed) {
            const holder = holders.get(id);
            if (holder === undefined || !isSameHolder(holder, entry.holder)) {
                entry.stop();
                followed.delete(id);
                views.parts.removeHolder(id);
            }
        }
        [...holders.values()].filter(holder => !followed.has(holder.id)).forEach(follow);
    }

    function listStores(): readonly CacheStore[] {
        const services = views.routes()?.table.services ?? [];
        return services.flatMap(service =>
            service.cacheStore !== undefined && followed.get(service.name)?.isReachable === true
                ? [{ id: service.name, ...service.cacheStore }]
                : []
        );
    }

    return {
        listStores,
        refresh,
        stop: () => followed.forEach(entry => entry.stop()),
    };
}
