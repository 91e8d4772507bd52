/**
 * @module
 * Histories of instances that follow the operator's topic on a virtual clock: connections to the store go silent, are
 * reset or cut, and the store is away, slow, or comes back from an older copy, while versions are confirmed.
 */
import fc from "fast-check";
import { setImmediate } from "node:timers/promises";
import { createVirtualClock, type VirtualClock } from "../../fakes/createVirtualClock.js";
import { createCodec } from "../../platform/createCodec.js";
import { createEngineOrders } from "../../platform/createEngineOrders.js";
import { createPorts } from "../../platform/createPorts.js";
import { topics } from "../../platform/wireNames.js";
import { assembleFeeds } from "../../src/assemble/assembleFeeds.js";
import { assemblePeerState, type PeerStates } from "../../src/assemble/assemblePeerState.js";
import { assembleViews, type InstanceViews } from "../../src/assemble/assembleViews.js";
import type { RouterSettings } from "../../src/assemble/routerPorts.js";
import { memoizeFor } from "../../src/core/_lib/memoizeFor.js";
import { storeAnswerTimeoutMs } from "../../src/core/constants.js";
import type { FleetMember } from "../../src/core/fleet/createFleetView.js";
import { parsePeerState } from "../../src/core/fleet/peerState.js";
import type {
    KeyedRecord,
    NewestResult,
    ReadResult,
    RecordStore,
    StoreFailure,
} from "../../src/core/ports/recordStore.js";
import { createStoreEra, type StoreEra } from "../../src/core/store/createStoreEra.js";
import { planStoreReads, type StoreReadPlan } from "../../src/core/store/planStoreReads.js";
import type { PeerStateReader } from "../../src/io/fleet/createPeerStateReader.js";
import { createInstanceContext } from "./createInstanceContext.js";
import { configuration, createSettings } from "./platformFixture.js";

/** A trouble of the connections of some instances: for good (`silence`, `reset`) or for a time (`cut`). */
export interface ConnectionTrouble {
    readonly kind: "silence" | "reset" | "cut";
    readonly atMs: number;
    readonly durationMs: number;
    readonly instances: readonly number[];
}

/** A trouble of the store. `hang`: it answers nothing, and the connections of that time stay silent afterwards.
 * `return`: it is away, then comes back without the newest records, which the operator writes again. */
export interface StoreTrouble {
    readonly kind: "refuse" | "hang" | "slow" | "return";
    readonly atMs: number;
    readonly durationMs: number;
}

/** A time in which an instance answers no peer. */
export interface PeerTrouble {
    readonly instance: number;
    readonly atMs: number;
    readonly durationMs: number;
}

/** What happens in a history. Times are milliseconds on the virtual clock. */
export interface StoreHistory {
    readonly instances: number;
    readonly connectionTroubles: readonly ConnectionTrouble[];
    readonly storeTroubles: readonly StoreTrouble[];
    /** Times in which an instance answers no peer, although the others take it for live. Without them each instance has
     * the store alone, otherwise most copy the state of a reader where the fleet is large enough. */
    readonly peerTroubles?: readonly PeerTrouble[];
    /** Times at which the operator writes a new version; it is confirmed once the store is there. */
    readonly publishedMs: readonly number[];
    readonly seed: number;
}

/** Bounds that the platform states, in milliseconds. */
export interface FreshnessBounds {
    /** Stable window as the instances know it; another one than `stableMs` is a fault that the check has to detect. */
    readonly statedStableMs?: number;
    /** Plants a fault in the plans of reads, which the check has to detect. */
    readonly alterPlan?: (plan: StoreReadPlan) => StoreReadPlan;
    /** Time without trouble after which an instance counts as in touch. */
    readonly stableMs: number;
    /** Time from the confirmation of a version until it is in force. */
    readonly inForceMs: number;
}

/** An instance that handles requests by a version that it should no longer use, or that has gone back to one. */
export interface FreshnessViolation {
    readonly instance: number;
    readonly atMs: number;
    readonly version: number;
    readonly required: number;
}

/** What a history has shown. */
export interface HistoryResult {
    readonly violations: readonly FreshnessViolation[];
    /** Reads of the operator's topic, by all instances. */
    readonly operatorReads: number;
    /** End of the history. */
    readonly endMs: number;
}

type NewestRecords = Exclude<NewestResult, StoreFailure>;

interface Connection {
    isSilent: boolean;
    /** Fails the calls in progress. */
    readonly pending: Set<() => void>;
}

/** A call in progress. */
interface Exchange<T> {
    readonly instance: number;
    readonly connection: Connection;
    readonly settle: (result: T | StoreFailure) => void;
}

interface EraStated {
    readonly era: number;
}

interface Instance {
    readonly views: InstanceViews;
    readonly connections: Map<string, Connection>;
    readonly era: StoreEra;
    readonly member: FleetMember;
    peerStates: PeerStates | undefined;
}

/** Step of the virtual clock, in milliseconds. */
const stepMs = 20;

/** Time until an answer of an untroubled store, in milliseconds. */
const latencyMs = 5;

/** Extra time of a slow store, in milliseconds. */
const slownessMs = 700;

/** Time after a cut until retransmitted bytes arrive, in milliseconds. */
const retransmissionMs = 200;

/** Time after a return from a copy until the operator has written the lost records again, in milliseconds. */
const rewriteMs = 500;

/** Records that a return from a copy loses. */
const lostRecords = 2;

/** Time after the last event until the end of a history, in milliseconds. */
const tailMs = 8_000;

function isDuring(trouble: { readonly atMs: number; readonly durationMs: number; }, nowMs: number): boolean {
    return nowMs >= trouble.atMs && nowMs < trouble.atMs + trouble.durationMs;
}

/** The store with the connections to it, as far as instances can tell. */
class ModelStore {
    readonly instances: Instance[] = [];
    readonly confirmedMs = new Map<number, number>();
    operatorReads = 0;
    private readonly records: KeyedRecord[] = [];
    /** Answers that are held back until there is a record. */
    private readonly heldBack = new Set<() => void>();
    private era = 1;
    private nextVersion = 1;

    constructor(private readonly clock: VirtualClock, private readonly history: StoreHistory) {}

    start(): void {
        const { clock, history } = this;
        history.publishedMs.forEach(atMs => clock.after(atMs, () => this.publish()));
        history.storeTroubles.filter(({ kind }) => kind === "hang" || kind === "return")
            .forEach(trouble => clock.after(trouble.atMs, () => this.breakAll(trouble)));
        history.connectionTroubles.filter(({ kind }) => kind !== "cut")
            .forEach(trouble => clock.after(trouble.atMs, () => this.breakConnections(trouble)));
    }

    publish(): void {
        const away = this.findAway();
        if (away !== undefined) {
            this.clock.after(away.atMs + away.durationMs - this.clock.now() + latencyMs, () => this.publish());
            return;
        }
        const version = this.nextVersion;
        this.nextVersion += 1;
        this.append(version);
        this.confirmedMs.set(version, this.clock.now());
    }

    /** Creates the port of one instance. */
    connect(instance: number): RecordStore {
        const fail = (): Promise<StoreFailure> =>
            Promise.resolve({ kind: "failed", cause: "answer", reason: "not used here" });
        return {
            readNewest: topic =>
                this.call(instance, `newest ${topic}`, 0, (): NewestRecords => ({
                    kind: "newest",
                    era: this.era,
                    records: topic === topics.operator ? this.records.slice(-1) : [],
                    end: topic === topics.operator ? this.records.length : 0,
                })),
            readKeyed: (topic, from, waitMs) => {
                const isAtEnd = topic === topics.operator && from === this.records.length;
                return this.call(instance, `read ${topic}`, waitMs, () => this.read(topic, from), isAtEnd);
            },
            readPlain: fail,
            appendAt: fail,
            putKeyed: fail,
            close: () => undefined,
        };
    }

    isTroubled(instance: number, nowMs: number, stableMs: number): boolean {
        const isRecent = (trouble: { readonly atMs: number; readonly durationMs: number; }) =>
            nowMs >= trouble.atMs && nowMs < trouble.atMs + trouble.durationMs + stableMs;
        return this.history.storeTroubles.some(isRecent)
            || this.history.connectionTroubles.some(trouble =>
                trouble.instances.includes(instance) && isRecent(trouble)
            );
    }

    private append(version: number): void {
        const value = Buffer.from(JSON.stringify({ ...configuration, version }));
        this.records.push({ offset: this.records.length, key: "config", value });
        const held = [...this.heldBack];
        this.heldBack.clear();
        held.forEach(wake => wake());
    }

    private read(topic: string, from: number): Exclude<ReadResult<KeyedRecord>, StoreFailure> {
        const records = topic === topics.operator ? this.records : [];
        if (from > records.length) {
            return { kind: "truncated", era: this.era, first: 0 };
        }
        const end = records.length;
        return { kind: "records", era: this.era, records: records.slice(from), next: end, end };
    }

    private findAway(): StoreTrouble | undefined {
        const nowMs = this.clock.now();
        return this.history.storeTroubles.find(trouble => trouble.kind !== "slow" && isDuring(trouble, nowMs));
    }

    private findCut(instance: number): ConnectionTrouble | undefined {
        const nowMs = this.clock.now();
        return this.history.connectionTroubles.find(trouble =>
            trouble.kind === "cut" && trouble.instances.includes(instance) && isDuring(trouble, nowMs)
        );
    }

    private breakConnections({ kind, instances }: ConnectionTrouble): void {
        instances.map(index => this.instances[index]!).forEach(({ connections }) => {
            for (const connection of connections.values()) {
                connection.isSilent = true;
                if (kind === "reset") {
                    connection.pending.forEach(fail => fail());
                }
            }
            if (kind === "reset") {
                connections.clear();
            }
        });
    }

    private breakAll(trouble: StoreTrouble): void {
        const instances = this.instances.map((_, index) => index);
        this.breakConnections({ ...trouble, kind: trouble.kind === "hang" ? "silence" : "reset", instances });
        if (trouble.kind === "return") {
            this.clock.after(trouble.durationMs, () => this.returnFromCopy());
        }
    }

    private returnFromCopy(): void {
        this.records.splice(Math.max(0, this.records.length - lostRecords));
        this.era += 1;
        this.clock.after(rewriteMs, () => this.append(this.nextVersion - 1));
    }

    private open(instance: number, key: string): Connection {
        const { connections } = this.instances[instance]!;
        const existing = connections.get(key);
        if (existing !== undefined) {
            return existing;
        }
        const opened: Connection = { isSilent: false, pending: new Set() };
        connections.set(key, opened);
        return opened;
    }

    /** Performs a call as the store's client does; `isHeld` holds the answer back until there is a record. */
    private call<T extends EraStated>(
        instance: number,
        key: string,
        waitMs: number,
        answer: () => T,
        isHeld = false,
    ): Promise<T | StoreFailure> {
        this.operatorReads += key.endsWith(topics.operator) ? 1 : 0;
        return new Promise(resolve => {
            const exchange = this.beginExchange(instance, key, waitMs + storeAnswerTimeoutMs, resolve);
            if (isHeld && waitMs > 0 && this.findAway() === undefined) {
                this.holdBack(waitMs, () => this.respond(exchange, answer));
            }
            else {
                this.respond(exchange, answer);
            }
        });
    }

    /** Sends a call; one without an answer in time ends its connection. */
    private beginExchange<T>(
        instance: number,
        key: string,
        timeoutMs: number,
        resolve: (result: T | StoreFailure) => void,
    ): Exchange<T> {
        const { connections } = this.instances[instance]!;
        const connection = this.open(instance, key);
        const settle = (result: T | StoreFailure) => {
            cancelTimeout();
            connection.pending.delete(fail);
            // Reads of all keys have a connection each.
            if (key.startsWith("newest") && connections.get(key) === connection) {
                connections.delete(key);
            }
            // A promise keeps its first result.
            resolve(result);
        };
        const fail = () => {
            if (connections.get(key) === connection) {
                connections.delete(key);
            }
            settle({ kind: "failed", cause: "timeout", reason: "no answer" });
        };
        const cancelTimeout = this.clock.after(timeoutMs, fail);
        connection.pending.add(fail);
        return { instance, connection, settle };
    }

    private holdBack(waitMs: number, respond: () => void): void {
        let hasResponded = false;
        const wake = () => {
            if (!hasResponded) {
                hasResponded = true;
                respond();
            }
        };
        this.heldBack.add(wake);
        this.clock.after(waitMs, wake);
    }

    private respond<T extends EraStated>(exchange: Exchange<T>, answer: () => T): void {
        const { clock } = this;
        const isSlow = this.history.storeTroubles.some(one => one.kind === "slow" && isDuring(one, clock.now()));
        clock.after(latencyMs + (isSlow ? slownessMs : 0), () => this.deliver(exchange, answer));
    }

    private deliver<T extends EraStated>(exchange: Exchange<T>, answer: () => T): void {
        const { instance, connection, settle } = exchange;
        const cut = this.findCut(instance);
        if (cut !== undefined) {
            const restMs = cut.atMs + cut.durationMs - this.clock.now();
            this.clock.after(restMs + retransmissionMs, () => this.deliver(exchange, answer));
            return;
        }
        const away = this.findAway();
        connection.isSilent ||= away?.kind === "hang";
        if (connection.isSilent) {
            return;
        }
        if (away !== undefined) {
            settle({ kind: "failed", cause: "answer", reason: "away" });
            return;
        }
        const result = answer();
        const judged = this.instances[instance]!.era.accept(result.era);
        settle(judged.isErr ? { kind: "failed", cause: "era", reason: judged.error } : result);
    }
}

/** Time limits of a configuration and of draining, in milliseconds. */
const limitMs = 2_000;

/** Lifetime of a plan of reads, in milliseconds. */
const planLifetimeMs = 250;

/** Time after which a read of a peer's state is given up, in milliseconds. */
const peerTimeoutMs = 500;

function createMember(index: number): FleetMember {
    const address = `entry-${index}`;
    const instance: FleetMember["instance"] = {
        name: address,
        startedAtMs: 1,
        failureDomain: `domain-${index % 3}`,
        callerAddress: address,
        peerAddress: address,
        heartbeatAddress: address,
        state: "serving",
    };
    return { instance, lastSeenMs: 0 };
}

/** Lists the readers of the store in a fleet of which no instance has failed. */
export function listReaders(instances: number): readonly number[] {
    const members = Array.from({ length: instances }, (_, index) => createMember(index).instance);
    const settings = { drainMs: limitMs, configMs: limitMs, reconnectLimitMs: limitMs };
    return members.flatMap((self, index) => {
        const others = members.filter(one => one !== self);
        return planStoreReads(self, others, settings).isReader ? [index] : [];
    });
}

/** Reads the state of a peer; one in trouble does not answer. */
function createPeerReader(store: ModelStore, history: StoreHistory, clock: VirtualClock): PeerStateReader["read"] {
    return (address, known) =>
        new Promise(resolve => {
            const index = store.instances.findIndex(one => one.member.instance.peerAddress === address);
            const isSilent = (history.peerTroubles ?? []).some(one =>
                one.instance === index && isDuring(one, clock.now())
            );
            if (isSilent) {
                clock.after(peerTimeoutMs, () => resolve(undefined));
                return;
            }
            clock.after(latencyMs, () => {
                const state = store.instances[index]!.peerStates!.describe(known);
                clock.after(latencyMs, () => resolve(parsePeerState(JSON.stringify(state))));
            });
        });
}

function startInstance(
    store: ModelStore,
    clock: VirtualClock,
    index: number,
    history: StoreHistory,
    { stableMs, statedStableMs: reconnectLimitMs = stableMs, alterPlan = plan => plan }: FreshnessBounds,
): Instance {
    const era = createStoreEra();
    const ports = createPorts(store.connect(index), era, createCodec(), createEngineOrders());
    const settings: RouterSettings = {
        ...createSettings(`entry-${index}`),
        reconnectLimitMs,
        drainMs: limitMs,
        configMs: limitMs,
    };
    const context = { ...createInstanceContext(clock), settings, ports };
    const views = assembleViews(context);
    const member = createMember(index);
    const instance: Instance = { views, connections: new Map(), era, member, peerStates: undefined };
    store.instances.push(instance);
    const listOthers = () =>
        history.peerTroubles === undefined
            ? []
            : store.instances.filter(one => one !== instance).map(one => one.member);
    const plan = memoizeFor(
        planLifetimeMs,
        clock.now,
        () => alterPlan(planStoreReads(member.instance, listOthers().map(one => one.instance), settings)),
    );
    const feeds = assembleFeeds(context, views, {
        plan,
        operatorAgeMs: () => instance.peerStates?.operatorAgeMs() ?? Infinity,
        upstreamsAgeMs: () => instance.peerStates?.upstreamsAgeMs() ?? Infinity,
        checkPause: () => undefined,
    });
    instance.peerStates = assemblePeerState(context, views, {
        feeds,
        plan,
        listLive: listOthers,
        read: createPeerReader(store, history, clock),
        checkPause: () => undefined,
    });
    return instance;
}

/** Plays a history and checks, at each step, the version in force on each instance that is in touch. */
export async function playStoreHistory(history: StoreHistory, bounds: FreshnessBounds): Promise<HistoryResult> {
    const clock = createVirtualClock(history.seed);
    const store = new ModelStore(clock, history);
    store.publish();
    store.start();
    const instances = Array.from(
        { length: history.instances },
        (_, index) => startInstance(store, clock, index, history, bounds),
    );
    const highest = instances.map(() => 0);
    const violations: FreshnessViolation[] = [];
    const eventTimes = [...history.publishedMs, ...history.connectionTroubles, ...history.storeTroubles]
        .map(event => typeof event === "number" ? event : event.atMs + event.durationMs);
    const endMs = Math.max(0, ...eventTimes) + tailMs;

    function check(instance: number): void {
        const atMs = clock.now();
        const version = instances[instance]!.views.routes()?.table.version ?? 0;
        const due = [...store.confirmedMs].filter(([, confirmedMs]) => confirmedMs + bounds.inForceMs < atMs);
        const isInTouch = atMs >= bounds.stableMs && !store.isTroubled(instance, atMs, bounds.stableMs);
        const required = Math.max(highest[instance]!, ...(isInTouch ? due.map(([confirmed]) => confirmed) : []));
        highest[instance] = Math.max(highest[instance]!, version);
        if (version < required) {
            violations.push({ instance, atMs, version, required });
        }
    }

    while (clock.now() < endMs) {
        clock.runUntil(clock.now() + stepMs);
        await setImmediate();
        instances.forEach((_, index) => check(index));
    }
    return { violations, operatorReads: store.operatorReads, endMs };
}

const maxTimeMs = 12_000;

/** Instances of random histories of a fleet in which most copy the state of a reader. */
const fleetSize = 16;

/** Random histories of three instances, each with the store alone. */
export const storeHistoryArbitrary: fc.Arbitrary<StoreHistory> = fc.record({
    instances: fc.constant(3),
    connectionTroubles: fc.array(
        fc.record({
            kind: fc.constantFrom<ConnectionTrouble["kind"]>("silence", "silence", "reset", "cut"),
            atMs: fc.integer({ min: 500, max: maxTimeMs }),
            durationMs: fc.integer({ min: 0, max: 4_000 }),
            instances: fc.constantFrom<readonly number[]>([0, 1, 2], [0, 1, 2], [0], [1, 2]),
        }).map(trouble => trouble.kind === "cut" ? trouble : { ...trouble, durationMs: 0 }),
        { maxLength: 4 },
    ),
    storeTroubles: fc.array(
        fc.record({
            kind: fc.constantFrom<StoreTrouble["kind"]>("refuse", "hang", "slow", "return"),
            atMs: fc.integer({ min: 500, max: maxTimeMs }),
            durationMs: fc.integer({ min: 100, max: 3_000 }),
        }),
        { maxLength: 2 },
    ),
    publishedMs: fc.array(fc.integer({ min: 300, max: maxTimeMs }), { minLength: 1, maxLength: 8 }),
    seed: fc.integer({ min: 1, max: 1_000_000 }),
});

/** Random histories of a fleet of which most instances copy the state of a reader. */
export const fleetHistoryArbitrary: fc.Arbitrary<StoreHistory> = fc.record({
    history: storeHistoryArbitrary,
    troubled: fc.array(fc.subarray(Array.from({ length: fleetSize }, (_, index) => index)), {
        minLength: 4,
        maxLength: 4,
    }),
    peerTroubles: fc.array(
        fc.record({
            instance: fc.integer({ min: 0, max: fleetSize - 1 }),
            atMs: fc.integer({ min: 500, max: maxTimeMs }),
            durationMs: fc.integer({ min: 100, max: 4_000 }),
        }),
        { maxLength: 4 },
    ),
}).map(({ history, troubled, peerTroubles }) => ({
    ...history,
    instances: fleetSize,
    peerTroubles,
    connectionTroubles: history.connectionTroubles.map((trouble, index) => ({
        ...trouble,
        instances: troubled[index]!,
    })),
}));
