/**
 * @module
 * What is known of the load of upstreams. Paces are factors of the usual duration of work: 1 is usual, 2 is twice as slow.
 */

/** Load as an upstream states it in the head of an answer. */
export interface StatedLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    /** How long work takes there now; undefined when the upstream does not state it. */
    readonly pace: number | undefined;
}

/** A statement about one upstream, by an answer to this instance or to another one. */
export interface LoadStatement {
    readonly upstream: string;
    /** When the answer arrived, in milliseconds on the local clock. */
    readonly atMs: number;
    readonly running: number;
    readonly waiting: number;
    /** Stated pace; undefined when it was not stated. */
    readonly pace: number | undefined;
    /** Duration of the answered request as a factor of its service's mean; undefined when it says nothing. */
    readonly slowness: number | undefined;
}

/** Load of one upstream, as far as it is known. */
export interface LoadEstimate {
    /** Requests that run or wait at the upstream, those of all instances. */
    readonly requests: number;
    /** Standard deviation of {@link LoadEstimate.requests}: by how much it has probably changed since the statement. */
    readonly deviation: number;
    /** Requests that wait there for a slot or for memory. */
    readonly waiting: number;
    /** Mean memory of a request of this instance to the service, in tokens; undefined before the first one. */
    readonly memoryTokens?: number | undefined;
    readonly slots: number;
    readonly pace: number;
    /** Whether the upstream states its pace. */
    readonly isPaceStated: boolean;
    /** Waiting requests with which upstreams of the service reject further ones; undefined while none has. */
    readonly queueLimit: number | undefined;
    /** Age of the newest statement, in milliseconds; infinite when there is none. */
    readonly ageMs: number;
}

/** The upstream that a load belongs to. */
export interface LoadedUpstream {
    readonly service: string;
    /** Maximum number of concurrent requests. */
    readonly slots: number;
}
