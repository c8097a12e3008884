/**
 * `node:assert` for the bundle, where the message of a failed assertion is fixed. Node.js derives it from the source line of the
 * call, which takes seconds in a bundle whose lines hold hundreds of kilobytes.
 */
"use strict";
const nodeAssert = require("node:assert");

const MESSAGE = "assertion failed";

function assert(value, message = MESSAGE) {
    if (!value) {
        throw message instanceof Error
            ? message
            : new nodeAssert.AssertionError({ actual: value, expected: true, operator: "==", message, stackStartFn: assert });
    }
}

module.exports = Object.assign(assert, nodeAssert, { ok: assert });
