/**
 * @module
 * The daemon's life: start, restart exchange and planned stop.
 */
export * from "./createLifecycle.js";
export * from "./lifecycleMachine.js";
export * from "./restartState.js";
