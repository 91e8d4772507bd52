// The parts of undici that the platform's bundle uses. The package's own entry point also loads fetch, WebSocket, mocks and
// HTTP/2 proxies, which a starting instance would compile for nothing. An import that is missing here fails the build.
import api from "undici/lib/api/index.js";
import buildConnector from "undici/lib/core/connect.js";
import Client from "undici/lib/dispatcher/client.js";
import Dispatcher from "undici/lib/dispatcher/dispatcher.js";

Object.assign(Dispatcher.prototype, api);

export { buildConnector, Client, Dispatcher };
