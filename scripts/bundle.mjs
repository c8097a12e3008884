/**
 * Bundles the programs of a deployment into single files under target/, so that a start loads one file.
 */
import { build } from "esbuild";

/** Native helpers that bunyan uses where they are there; it goes on without them. */
const optionalModules = ["dtrace-provider", "mv", "moment", "safe-json-stringify"];
const leaveOut = {
    name: "leave-out",
    setup(bundle) {
        bundle.onResolve({ filter: new RegExp(`^(${optionalModules.join("|")})$`) }, (found) => ({
            path: `left-out-${found.path}`,
            external: true,
        }));
    },
};

await build({
    entryPoints: { crankfork: "platform/src/main.ts" },
    outdir: "target",
    outExtension: { ".js": ".mjs" },
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    minifySyntax: true,
    sourcemap: false,
    logLevel: "warning",
    plugins: [leaveOut],
    alias: Object.fromEntries(
        ["schemas", "coordination", "decisions", "daemon"].map((name) => [
            `@crankfork/${name}`,
            `./packages/${name}/src/index.ts`,
        ]),
    ),
    // Some libraries are CommonJS and ask for Node's own modules by require.
    banner: {
        js: 'import { createRequire as makeRequire } from "node:module"; const require = makeRequire(import.meta.url);',
    },
});
