/**
 * @module
 * Use of every customer's limits over the fleet, for operators.
 */
import { type Catalogue, listEntries } from "../../core/catalogue/catalogue.js";
import type { ClassOfService, CustomerLimits } from "../../core/catalogue/catalogueEntry.js";
import { combineAmounts, zeroAmounts } from "../../core/limits/quotaMath.js";
import type { Amounts, QuotaUse } from "../../core/limits/quotaTypes.js";
import type { Member } from "../../core/membership/memberTypes.js";
import type { PeerClients } from "../peers/createPeerClient.js";

/** One customer's use against its limits. */
export interface CustomerUse {
    readonly customer: string;
    readonly owner: string;
    readonly classOfService: ClassOfService;
    readonly limits: CustomerLimits;
    /** What is admitted per second, summed over the instances that answered. */
    readonly admittedPerSecond: Amounts;
    readonly inFlight: number;
}

/** The answer to an operator. */
export interface CustomerUseReport {
    readonly customers: readonly CustomerUse[];
    /** Instances that are not considered dead but did not answer; their use is missing. */
    readonly unanswered: readonly string[];
}

/** What reading the use needs. */
export interface CustomerUseDependencies {
    readonly catalogue: () => Catalogue;
    readonly members: () => readonly Member[];
    readonly instance: string;
    readonly clients: PeerClients;
    readonly listOwnUse: () => readonly QuotaUse[];
}

function sumUse(uses: readonly QuotaUse[]): Pick<CustomerUse, "admittedPerSecond" | "inFlight"> {
    return {
        admittedPerSecond: uses.reduce(
            (sum, use) => combineAmounts(sum, use.admittedPerSecond, (left, right) => left + right),
            zeroAmounts,
        ),
        inFlight: uses.reduce((sum, use) => sum + use.inFlight, 0),
    };
}

/**
 * Queries every member for its use and sums it up by customer.
 *
 * @param dependencies - The catalogue, the members and this instance's own use.
 * @returns Use by customer, and the instances that did not answer.
 */
export async function readCustomerUse(dependencies: CustomerUseDependencies): Promise<CustomerUseReport> {
    const peers = dependencies.members().filter(member =>
        member.instance !== dependencies.instance && member.state !== "dead"
    );
    const answers = await Promise.allSettled(
        peers.map(peer => dependencies.clients.connect(peer.peerAddress).limits.use.query()),
    );
    const uses = [
        ...dependencies.listOwnUse(),
        ...answers.flatMap(answer => answer.status === "fulfilled" ? answer.value : []),
    ];
    const byCustomer = new Map<string, QuotaUse[]>();
    for (const use of uses) {
        byCustomer.set(use.customer, [...byCustomer.get(use.customer) ?? [], use]);
    }
    const customers = listEntries(dependencies.catalogue(), "customer").map((
        { id, owner, classOfService, limits },
    ) => ({
        customer: id,
        owner,
        classOfService,
        limits,
        ...sumUse(byCustomer.get(id) ?? []),
    }));
    const unanswered = peers.filter((_, index) => answers[index]!.status === "rejected").map(peer => peer.instance);
    return { customers, unanswered };
}
