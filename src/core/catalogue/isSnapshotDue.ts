/**
 * @module
 * Decides when a snapshot of the catalogue is written to the log.
 */

/** Changes of the catalogue after which a snapshot is due. */
export const changesPerSnapshot = 1_000;

/** Share of the log's retention after which a snapshot is due; less than 1, so that the log always has several. */
export const snapshotRetentionShare = 0.25;

/** Input of {@link isSnapshotDue}. */
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
 * Decides whether a snapshot is due. All instances decide alike on the number of changes.
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
