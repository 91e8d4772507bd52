/**
 * @module
 * Orders waiting requests by urgency and by whether they can still be on time, and shares the room of a level fairly between
 * customers. It answers loads that exceed the capacity for longer: neither customers nor less urgent requests are left without
 * service.
 */
import { createFairQueue, type FairQueue, type QueuedRequest } from "../limits/createFairQueue.js";
import type { WaitingRequest } from "./createWaitQueue.js";

/** Waiting requests by level. Times are milliseconds on the instance's clock. */
export interface UrgencyLevels {
    readonly add: (waiting: WaitingRequest, nowMs: number) => void;
    readonly remove: (id: string) => void;
    /** Moves the requests that have become late behind those on time. */
    readonly update: (nowMs: number) => void;
    /**
     * Passes requests to `tryPlace` in order until one is placed, which is returned, or `canContinue` returns false. One request
     * of each level that goes before more urgent ones is passed in any case, as `isOwnTurn`.
     */
    readonly placeNext: (
        tryPlace: (waiting: WaitingRequest, isOwnTurn: boolean) => boolean,
        canContinue: () => boolean,
    ) => PlacedWaiting | undefined;
    /** Lists the requests of the same state (on time or late) that are placed before a waiting one, about. */
    readonly listAhead: (id: string) => readonly WaitingRequest[];
    readonly find: (id: string) => WaitingRequest | undefined;
    readonly countOnTime: () => number;
    readonly countByPriority: () => ReadonlyMap<number, number>;
    readonly size: () => number;
}

/** A request that was placed. */
export interface PlacedWaiting {
    readonly waiting: WaitingRequest;
    readonly isLate: boolean;
    /** Whether it went before more urgent ones, since its level had had too little. */
    readonly isGuaranteed: boolean;
}

interface QueuedWaiting extends QueuedRequest {
    readonly waiting: WaitingRequest;
}

interface Level {
    readonly priority: number;
    readonly onTime: FairQueue<QueuedWaiting>;
    readonly late: FairQueue<QueuedWaiting>;
    /** Tokens of the requests that had to wait, decaying over the window. */
    arrivedTokens: number;
    /** Tokens that the level is owed for what more urgent levels were given. */
    owedTokens: number;
}

/** A queue that is about to be dispatched. */
interface Turn {
    readonly level: Level;
    readonly queue: FairQueue<QueuedWaiting>;
    /** Whether one of its requests is tried in any case, and no more than one. */
    readonly isOwnTurn: boolean;
}

interface Entry {
    readonly queued: QueuedWaiting;
    readonly level: Level;
    isLate: boolean;
}

/** Part of its share by arrived tokens that a level gets beside more urgent ones: enough not to be without service. */
const guaranteedFraction = 1 / 3;

/** Time over which the shares of levels are taken, in milliseconds. */
const shareWindowMs = 4_000;

/** Requests of one customer that are tried after one that does not fit: a smaller one may. So few that others are tried, too. */
const maxSkipped = 2;

function createLevel(priority: number): Level {
    const options = {
        isBefore: (left: QueuedWaiting, right: QueuedWaiting) => left.waiting.disconnectMs < right.waiting.disconnectMs,
        maxSkipped,
        keepsTurn: true,
    };
    return {
        priority,
        onTime: createFairQueue(options),
        late: createFairQueue(options),
        arrivedTokens: 0,
        owedTokens: 0,
    };
}

function toQueued(waiting: WaitingRequest): QueuedWaiting {
    const { id: requestId, customer, size: tokens } = waiting;
    return { requestId, customer, tokens, recomputeTokens: 0, weight: 1, waiting };
}

const countTokens = ({ onTime, late }: Level) => onTime.totalTokens() + late.totalTokens();

/** Requests of one customer that go before `tokens` of another one: those that begin within as many tokens. */
function takeTokens(items: readonly QueuedWaiting[], tokens: number): readonly QueuedWaiting[] {
    let sum = 0;
    return items.filter(item => {
        sum += item.tokens;
        return sum <= tokens;
    });
}

function listItems(queue: FairQueue<QueuedWaiting>): readonly QueuedWaiting[] {
    return queue.listHeads().flatMap(head => queue.listByCustomer(head.customer));
}

/** Lists the requests that go before one of the same queue. */
function listAheadInQueue(
    queue: FairQueue<QueuedWaiting>,
    { requestId, customer, tokens }: QueuedWaiting,
): readonly QueuedWaiting[] {
    const own = queue.listByCustomer(customer);
    const ownAhead = own.slice(0, own.findIndex(item => item.requestId === requestId));
    const share = ownAhead.reduce((sum, item) => sum + item.tokens, tokens);
    const others = queue.listHeads().filter(head => head.customer !== customer)
        .flatMap(head => takeTokens(queue.listByCustomer(head.customer), share));
    return [...ownAhead, ...others];
}

/**
 * Creates levels without requests. Requests that can still meet their latency objective go before those that cannot: under
 * overload, serving in the order of arrival would make all of them late. Within both groups, the most urgent priority goes first,
 * but a less urgent one is guaranteed a part of its share; within a priority, customers get equal shares by tokens, and among the
 * requests of a customer the one with the earliest caller timeout goes first.
 *
 * @returns The levels.
 * @example
 * createUrgencyLevels().placeNext(waiting => waiting.tryPlace(), () => true); // undefined
 */
export function createUrgencyLevels(): UrgencyLevels {
    const levels = new Map<number, Level>();
    const entries = new Map<string, Entry>();
    let decayedMs = 0;

    const listLevels = () => [...levels.values()].toSorted((left, right) => left.priority - right.priority);

    const queueOf = ({ level, isLate }: Entry) => isLate ? level.late : level.onTime;

    function decayShares(nowMs: number): void {
        const factor = Math.exp((decayedMs - nowMs) / shareWindowMs);
        levels.forEach(level => {
            level.arrivedTokens *= factor;
        });
        decayedMs = nowMs;
    }

    function add(waiting: WaitingRequest, nowMs: number): void {
        const level = levels.get(waiting.priority) ?? createLevel(waiting.priority);
        levels.set(waiting.priority, level);
        decayShares(nowMs);
        level.arrivedTokens += waiting.size;
        const entry = { queued: toQueued(waiting), level, isLate: nowMs > waiting.latencyDeadlineMs };
        entries.set(waiting.id, entry);
        queueOf(entry).enqueue(entry.queued);
    }

    function remove(id: string): void {
        const entry = entries.get(id);
        if (entry === undefined) {
            return;
        }
        entries.delete(id);
        queueOf(entry).remove(id);
        if (countTokens(entry.level) === 0) {
            entry.level.owedTokens = 0;
        }
    }

    function update(nowMs: number): void {
        for (const entry of entries.values()) {
            if (!entry.isLate && nowMs > entry.queued.waiting.latencyDeadlineMs) {
                entry.level.onTime.remove(entry.queued.requestId);
                entry.isLate = true;
                entry.level.late.enqueue(entry.queued);
            }
        }
    }

    function isOwed(level: Level): boolean {
        const head = level.onTime.listHeads()[0] ?? level.late.listHeads()[0];
        return head !== undefined && level.owedTokens >= head.tokens;
    }

    /** Charges a placement to its level, and owes the less urgent ones that wait a part of their shares. */
    function settle(placed: Level, tokens: number): void {
        placed.owedTokens = Math.max(0, placed.owedTokens - tokens);
        const total = listLevels().reduce((sum, level) => sum + level.arrivedTokens, 0);
        for (const level of levels.values()) {
            if (level.priority > placed.priority && countTokens(level) > 0) {
                level.owedTokens += tokens * guaranteedFraction * level.arrivedTokens / Math.max(1, total);
            }
        }
    }

    /** Lists the queues in order. Requests of an owed level may be kept back for more urgent ones: that uses up no attempts. */
    function listTurns(ordered: readonly Level[], owed: readonly Level[]): readonly Turn[] {
        return [
            ...owed.flatMap(level => [level.onTime, level.late].map(queue => ({ level, queue, isOwnTurn: true }))),
            ...ordered.map(level => ({ level, queue: level.onTime, isOwnTurn: false })),
            ...ordered.map(level => ({ level, queue: level.late, isOwnTurn: false })),
        ];
    }

    function placeNext(
        tryPlace: (waiting: WaitingRequest, isOwnTurn: boolean) => boolean,
        canContinue: () => boolean,
    ): PlacedWaiting | undefined {
        let placed: QueuedWaiting | undefined;
        const ordered = listLevels();
        const owed = ordered.filter(isOwed);
        for (const { level, queue, isOwnTurn } of listTurns(ordered, owed)) {
            let tries = 0;
            const accept = (queued: QueuedWaiting) => {
                tries += 1;
                placed = tryPlace(queued.waiting, isOwnTurn) ? queued : undefined;
                return placed !== undefined;
            };
            queue.dispatch(accept, () => placed === undefined && (isOwnTurn ? tries === 0 : canContinue()));
            if (placed !== undefined) {
                const { waiting, tokens } = placed;
                const isGuaranteed = owed.includes(level)
                    && ordered.some(one => one.priority < level.priority && countTokens(one) > 0);
                remove(waiting.id);
                settle(level, tokens);
                return { waiting, isLate: queue === level.late, isGuaranteed };
            }
        }
        return undefined;
    }

    function listAhead(id: string): readonly WaitingRequest[] {
        const entry = entries.get(id);
        if (entry === undefined) {
            return [];
        }
        const moreUrgent = listLevels().filter(level => level.priority < entry.level.priority)
            .flatMap(level => listItems(entry.isLate ? level.late : level.onTime));
        return [...moreUrgent, ...listAheadInQueue(queueOf(entry), entry.queued)].map(item => item.waiting);
    }

    return {
        add,
        remove,
        update,
        placeNext,
        listAhead,
        find: id => entries.get(id)?.queued.waiting,
        countOnTime: () => [...entries.values()].filter(entry => !entry.isLate).length,
        countByPriority: () =>
            new Map(
                listLevels().map(level => [
                    level.priority,
                    [...entries.values()].filter(entry => entry.level === level).length,
                ]),
            ),
        size: () => entries.size,
    };
}
