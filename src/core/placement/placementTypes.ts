/**
 * @module
 * Data on which placement decides: the prompt, the use of an upstream and the candidate upstreams.
 */
import type { LoadEstimate } from "../load/loadTypes.js";

/** One part of a prompt; all parts but the last may be shared with other requests. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** The prompt of a model request, as a sequence of identified parts. */
export interface Prompt {
    readonly model: string;
    readonly parts: readonly PromptPart[];
    readonly promptTokens: number;
    /** Expected number of generated tokens. */
    readonly outputTokens: number;
}

/** Requests in progress at one upstream and the tokens that they use. */
export interface UpstreamUse {
    readonly requests: number;
    /** Memory for the prompts and answers of the requests, in tokens. */
    readonly memoryTokens: number;
    /** Prompt tokens that are not prefilled yet: those of requests whose answer has not begun. */
    readonly unreadTokens: number;
}

/** Estimated use by requests that peers have placed since their last report. */
export interface UnreportedUse {
    /** Memory for the parts that no other request shares, in tokens. */
    readonly memoryTokens: number;
    /** Prompt tokens to prefill. */
    readonly unreadTokens: number;
}

/** Load of an upstream as one choice takes it. */
export interface CandidateLoad {
    readonly estimate: LoadEstimate;
    /** Requests that are assumed there; not a whole number where they are drawn from the estimate. */
    readonly requests: number;
    /** Prompt tokens of the requests that wait there; 0 for a plain service. */
    readonly waitingTokens: number;
}

/** One upstream that may run a request. */
export interface PlacementCandidate {
    readonly id: string;
    /** Use by this instance and, as last reported, by its peers. */
    readonly use: UpstreamUse;
    /** Use by requests that peers have probably placed since their last report. */
    readonly unreported: UnreportedUse;
    /** Load by the upstream's statements; undefined when it states none. */
    readonly load?: CandidateLoad | undefined;
    /** Maximum number of concurrent requests. */
    readonly slots: number;
    /** Memory of an engine in tokens; undefined for a plain service. */
    readonly memoryTokens: number | undefined;
    /** Prompt tokens to prefill for this request; fetched tokens count as a fraction. */
    readonly prefillTokens: number;
    /** Prompt tokens among them that another upstream has prefilled or is about to. */
    readonly repeatedTokens: number;
    /** Memory that the request needs on this upstream, in tokens. */
    readonly neededTokens: number;
    /** Whether its weights have been outdated for so long that an answer made on them is worth less. */
    readonly isOutdated: boolean;
    /** Whether it is in the same failure domain as this instance. */
    readonly isSameFailureDomain: boolean;
}
