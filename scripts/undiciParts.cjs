/**
 * The parts of undici that the bundle uses. Its whole index also loads a fetch, cookies, mocks and caches.
 */
"use strict";
const Dispatcher = require("undici/lib/dispatcher/dispatcher.js");
const api = require("undici/lib/api/index.js");

Object.assign(Dispatcher.prototype, api);

module.exports = {
    Dispatcher,
    Client: require("undici/lib/dispatcher/client.js"),
    Pool: require("undici/lib/dispatcher/pool.js"),
    buildConnector: require("undici/lib/core/connect.js"),
    errors: require("undici/lib/core/errors.js"),
};
