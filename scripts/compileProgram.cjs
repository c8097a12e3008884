/**
 * `node scripts/compileProgram.cjs FOLDER` compiles the bundled program in a folder, every function of it, and keeps the
 * result for its starts.
 */
"use strict";
const { readFileSync, writeFileSync } = require("node:fs");
const { wrap } = require("node:module");
const { join, resolve } = require("node:path");
const { setFlagsFromString } = require("node:v8");
const { Script } = require("node:vm");

const target = resolve(process.argv[2]);
const filename = join(target, "program.cjs");

// Functions are usually compiled at their first call; what is kept has to fit the flags of a usual start.
setFlagsFromString("--no-lazy");
const script = new Script(wrap(readFileSync(filename, "utf8")), { filename });
setFlagsFromString("--lazy");
writeFileSync(join(target, "program.cache"), script.createCachedData());
