/**
 * @module
 * The catalogue: entries, changes, their fold and snapshots.
 */
export * from "./catalogue.js";
export * from "./catalogueEntry.js";
export * from "./checkReferences.js";
export * from "./diffEntries.js";
export * from "./foldOrder.js";
export * from "./foldRecord.js";
export * from "./foldVerdict.js";
export * from "./isSnapshotDue.js";
export * from "./mergeEdits.js";
export * from "./orderRecord.js";
export * from "./parseRecord.js";
export * from "./replica.js";
export * from "./snapshot.js";
export * from "./snapshotParts.js";
