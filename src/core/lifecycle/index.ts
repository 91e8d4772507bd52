/**
 * @module
 * Lifecycle of the daemon: start, exchange of state after a restart, and graceful shutdown.
 */
export * from "./createLifecycle.js";
export * from "./lifecycleMachine.js";
export * from "./restartState.js";
