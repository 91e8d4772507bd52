/**
 * @module
 * Decides when the catalogue is written to the log as a snapshot.
 */

/** Changes of the catalogue after which a snapshot is due. */
export const changesPerSnapshot = 1_000;

/** Share of the log's retention after which a snapshot is due; several stand in the log at any time. */
export const snapshotRetentionShare = 0.25;

/** What the decision needs. */
export interface SnapshotState {
    /** Offset up to which this instance has folded. */
    readonly nextOffset: number;
    /** Offset of the newest snapshot; undefined when there is none. */
    readonly newestSnapshot: number | undefined;
    /** Milliseconds since the newest snapshot was written. */
    readonly ageMs: number;
    /** Milliseconds that the log keeps records. */
    readonly retentionMs: number;
}

/**
 * Decides whether a snapshot is due. All instances come to the same answer on the change count.
 *
 * @param state - Offsets and age.
 * @returns True when a snapshot is due.
 * @example
 * isSnapshotDue({ nextOffset: 1000, newestSnapshot: 0, ageMs: 0, retentionMs: 86_400_000 }); // true
 */
export function isSnapshotDue(state: SnapshotState): boolean {
    if (state.nextOffset === 0) {
        return false;
    }
    const passed = Math.floor(state.nextOffset / changesPerSnapshot);
    const written = Math.floor((state.newestSnapshot ?? 0) / changesPerSnapshot);
    return passed > written || state.ageMs >= state.retentionMs * snapshotRetentionShare;
}
