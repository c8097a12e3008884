/**
 * `node scripts/bundle.mjs [FOLDER]` bundles the programs of a deployment into single files in a folder, target/ by default,
 * so that a start loads one file, and compiles them ahead of their starts.
 */
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { copyFileSync } from "node:fs";
import { join, resolve } from "node:path";

const folder = process.argv[2] ?? "target";

/** The flags of deploy/system.toml: code that was compiled under others is compiled anew at each start. */
const startFlags = ["--max-old-space-size=200"];
/** Native helpers that bunyan uses where they are there; it goes on without them. */
const optionalModules = ["dtrace-provider", "mv", "moment", "safe-json-stringify"];
/** Upstreams and peers speak HTTP/1.1; undici goes on without HTTP/2, which takes 23 ms of a start to load. */
const unusedModules = ["node:http2"];
/** Has a native part for each platform, which is loaded from where it is installed. */
const nativeModules = ["koffi"];
const assertParts = resolve("scripts/assertParts.cjs");
const takeParts = {
    name: "take-parts",
    setup(bundle) {
        bundle.onResolve(
            { filter: new RegExp(`^(${[...optionalModules, ...unusedModules].join("|")})$`) },
            (found) => ({
                path: `left-out-${found.path}`,
                external: true,
            }),
        );
        bundle.onResolve({ filter: /^undici$/ }, () => ({ path: resolve("scripts/undiciParts.cjs") }));
        bundle.onResolve(
            { filter: /^(node:)?assert$/ },
            ({ importer }) => importer === assertParts ? undefined : { path: assertParts },
        );
    },
};

await build({
    entryPoints: { program: "platform/src/main.ts" },
    outdir: folder,
    outExtension: { ".js": ".cjs" },
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    // Names stay, for the traces of errors.
    minifySyntax: true,
    minifyWhitespace: true,
    sourcemap: false,
    logLevel: "warning",
    external: nativeModules,
    // The program runs as a script of node:vm, which can only require modules.
    supported: { "dynamic-import": false },
    plugins: [takeParts],
    alias: Object.fromEntries(
        ["schemas", "coordination", "decisions", "daemon"].map((name) => [
            `@crankfork/${name}`,
            `./packages/${name}/src/index.ts`,
        ]),
    ),
});
copyFileSync("scripts/startProgram.cjs", join(folder, "crankfork.cjs"));
execFileSync(process.execPath, [...startFlags, "scripts/compileProgram.cjs", folder], { stdio: "inherit" });
