/**
 * Compiles the bundled program, every function of it, and keeps the result for its starts.
 */
"use strict";
const { readFileSync, writeFileSync } = require("node:fs");
const { wrap } = require("node:module");
const { join } = require("node:path");
const { setFlagsFromString } = require("node:v8");
const { Script } = require("node:vm");

const target = join(__dirname, "..", "target");
const filename = join(target, "program.cjs");

// Functions are usually compiled at their first call; what is kept has to fit the flags of a usual start.
setFlagsFromString("--no-lazy");
const script = new Script(wrap(readFileSync(filename, "utf8")), { filename });
setFlagsFromString("--lazy");
writeFileSync(join(target, "program.cache"), script.createCachedData());
