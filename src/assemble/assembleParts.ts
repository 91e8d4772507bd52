/**
 * @module
 * Assembles the feeds of prompt part events from engines and from prompt cache stores.
 */
import { computeStoreReachMs } from "../core/homes/computeStoreReachMs.js";
import { logInternalFailure } from "../core/logEvents/logInternalFailure.js";
import { createFeedAssignment } from "../core/placement/createFeedAssignment.js";
import { repeatEvery } from "../core/time/repeatEvery.js";
import { followPartEvents, type PartHolder } from "../io/parts/followPartEvents.js";
import type { Fleet } from "./assembleFleet.js";
import type { InstanceViews } from "./assembleViews.js";
import type { InstanceContext } from "./routerPorts.js";

/** A reachable prompt cache store. */
export interface CacheStore {
    readonly id: string;
    readonly address: string;
    readonly failureDomain: string;
    /** Whether this instance reads its events. */
    readonly isFollowed: boolean;
}

/** The feeds of prompt part events. */
export interface PartFeeds {
    /** Returns the cache stores that answered their last read, by this instance or in a large fleet by another one. */
    readonly listStores: () => readonly CacheStore[];
    /** Starts the feeds that this instance is to read now, and stops the others. */
    readonly refresh: () => void;
    readonly stop: () => void;
}

/** Interval at which the feeds are divided anew, in milliseconds. */
const refreshIntervalMs = 500;

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
    const assignment = createFeedAssignment(settings.instance);

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
                onEvents: events => views.parts.applyEvents(holder.id, events),
                onReset: () => views.parts.removeHolder(holder.id),
                onListed: parts => context.writeLog("partsListed", { holder: holder.id, parts }),
                onError: error => logInternalFailure(context.writeLog, error),
                onReachable: isReachable => {
                    feed.isReachable = isReachable;
                    if (isReachable && holder.isListed) {
                        views.storeReach.record({ id: holder.id, ageMs: 0 }, clock.now());
                    }
                },
            }),
        };
        feeds.set(holder.id, feed);
    }

    /** Ends a feed; what was read of its holder stays known. */
    function unfollow(feed: HolderFeed): void {
        feed.stop();
        feeds.delete(feed.holder.id);
    }

    function refresh(): void {
        assignment.setOthers(fleet.listLive().map(member => member.instance.name));
        const holders = new Map(listHolders().map(holder => [holder.id, holder]));
        for (const feed of feeds.values()) {
            const holder = holders.get(feed.holder.id);
            if (holder === undefined || !isSameHolder(holder, feed.holder)) {
                unfollow(feed);
                views.parts.removeHolder(feed.holder.id);
            }
            else if (!assignment.isReader(holder)) {
                unfollow(feed);
            }
        }
        if (fleet.isSettled()) {
            [...holders.values()].filter(holder => !feeds.has(holder.id) && assignment.isReader(holder)).forEach(
                follow,
            );
        }
    }

    function listStores(): readonly CacheStore[] {
        const services = views.routes()?.table.services ?? [];
        return services.flatMap(({ name, cacheStore }) => {
            const feed = feeds.get(name);
            const isReachable = feed === undefined && !fleet.isDirect()
                ? views.storeReach.isReachable(name, computeStoreReachMs(fleet.countInstances()), clock.now())
                : feed?.isReachable === true;
            return cacheStore !== undefined && isReachable
                ? [{ id: name, ...cacheStore, isFollowed: feed !== undefined }]
                : [];
        });
    }

    const stopRefreshing = repeatEvery(clock, refreshIntervalMs, refresh);
    return {
        listStores,
        refresh,
        stop: () => {
            stopRefreshing();
            feeds.forEach(feed => feed.stop());
        },
    };
}
