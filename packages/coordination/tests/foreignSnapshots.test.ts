import { expect } from "chai";
import fc from "fast-check";
import { FleetState } from "../src/index.js";

const SEED = 82;
const facts = { id: "u", service: "s", address: "127.0.0.1:1", failure_domain: "d", slots: 1 };
const crash = {
    fingerprint: "f",
    upstream: "u",
    had_progress: false,
    origin: { host: "h", target: "/" },
    segments: ["a"],
};

interface SnapshotLists {
    readonly upstreams: unknown[];
    readonly removed: unknown[];
    readonly crashes: { readonly records: unknown[]; readonly forgotten: unknown[]; };
    readonly segments: { readonly records: unknown[]; };
}

/** The state as read from a snapshot. */
function createSnapshot(): SnapshotLists {
    const state = new FleetState();
    state.apply({ kind: "put-upstream", facts, status: "ready" }, 1);
    state.apply({ kind: "remove-upstream", id: "v@5", life: { name: "v", started_at_ms: 5 } }, 2);
    state.apply({ kind: "record-crashes", crashes: [crash], at_ms: 1 }, 3);
    state.apply({ kind: "put-document", version: 1, packed: "packed" }, 4);
    return JSON.parse(JSON.stringify(state.getState())) as SnapshotLists;
}

function restore(snapshot: unknown): { readonly state: unknown; readonly dropped: number; } {
    const state = new FleetState();
    const dropped = state.restore(snapshot);
    return { state: JSON.parse(JSON.stringify(state.getState())), dropped };
}

const lists: readonly { readonly title: string; readonly get: (snapshot: SnapshotLists) => unknown[]; }[] = [
    { title: "upstreams", get: ({ upstreams }) => upstreams },
    { title: "removed upstreams", get: ({ removed }) => removed },
    { title: "crashes", get: ({ crashes }) => crashes.records },
    { title: "forgotten crashes", get: ({ crashes }) => crashes.forgotten },
    { title: "segments", get: ({ segments }) => segments.records },
];

describe("a record of a snapshot that cannot be parsed costs only itself", () => {
    const sound = restore(createSnapshot());

    for (const { title, get } of lists) {
        it(title, () => {
            const snapshot = createSnapshot();
            get(snapshot).unshift({ upstream: { ...facts, id: "w", slots: 1e300 }, id: 1, index: 1e300 });
            expect(restore(snapshot)).to.deep.equal({ ...sound, dropped: 1 });
        });

        it(`${title}: any value`, () => {
            fc.assert(
                fc.property(fc.jsonValue(), (value) => {
                    const snapshot = createSnapshot();
                    get(snapshot).push(value);
                    expect(restore(snapshot)).to.deep.equal({ ...sound, dropped: 1 });
                }),
                { seed: SEED },
            );
        });
    }

    it("what is no snapshot changes nothing", () => {
        const state = new FleetState();
        state.restore(createSnapshot());
        const before = JSON.stringify(state.getState());
        for (const raw of [null, 1, [], {}, { ...createSnapshot(), index: 1e300 }]) {
            expect(() => state.restore(raw)).to.throw();
        }
        expect(JSON.stringify(state.getState())).to.equal(before);
    });
});

/** Guards against records that all entries are sent with each answer, and against answers that are due at once for good. */
describe("an index in a snapshot's state is at most that of the snapshot", () => {
    const SNAPSHOT_INDEX = 4;
    const FAR = Number.MAX_SAFE_INTEGER;
    const rows: readonly { readonly title: string; readonly change: (snapshot: SnapshotLists) => object; }[] = [
        { title: "of the last change", change: (snapshot) => ({ ...snapshot, index: FAR }) },
        { title: "of the compaction", change: (snapshot) => ({ ...snapshot, forgotten_index: FAR }) },
        { title: "of upstreams", change: (snapshot) => ({ ...snapshot, upstreams: setFar(snapshot.upstreams) }) },
        { title: "of removed upstreams", change: (snapshot) => ({ ...snapshot, removed: setFar(snapshot.removed) }) },
        {
            title: "of crashes",
            change: ({ crashes, ...snapshot }) => ({
                ...snapshot,
                crashes: { ...crashes, records: setFar(crashes.records), forgotten_index: FAR },
            }),
        },
        {
            title: "of segments",
            change: ({ segments, ...snapshot }) => ({ ...snapshot, segments: { ...segments, index: FAR } }),
        },
    ];
    const setFar = (records: readonly unknown[]): unknown[] =>
        records.map((record) => ({ ...record as object, index: FAR }));
    for (const { title, change } of rows) {
        it(title, () => {
            const state = new FleetState();
            expect(state.restore(change(createSnapshot()), SNAPSHOT_INDEX)).to.equal(0);
            expect(JSON.stringify(state.getState())).to.not.include(String(FAR));
            state.apply({ kind: "put-upstream", facts: { ...facts, id: "later" }, status: "ready" }, 5);
            expect(state.lastChangeIndex).to.equal(5);
            const { isFullState, upstreams, removed, crashes, segments } = state.getChanges(SNAPSHOT_INDEX);
            expect([isFullState, upstreams.map(({ id }) => id), removed, crashes.records, segments])
                .to.deep.equal([false, ["later"], [], [], undefined]);
            expect(state.crashes.lastReportedIndex).to.be.at.most(SNAPSHOT_INDEX);
        });
    }
});

/** Guards against a replica that is blocked by the removals in one snapshot: it was for 20 s by 3 MB of them. */
describe("removed upstreams beyond those that are kept are evicted at once", () => {
    const KEPT = 2_000;
    const REMOVED = 20_000;
    /** A leader that is blocked for longer loses its lease. */
    const MAX_MS = 480;
    const rows: readonly { readonly title: string; readonly getName: (at: number) => string; }[] = [
        { title: "of as many names", getName: (at) => `u${String(at)}` },
        { title: "of one name", getName: () => "u" },
    ];
    for (const { title, getName } of rows) {
        it(title, () => {
            const removed = Array.from({ length: REMOVED }, (_, at) => {
                const life = { name: getName(at), started_at_ms: REMOVED - at };
                return { id: `${life.name}@${String(life.started_at_ms)}`, life, index: at + 1 };
            });
            const state = new FleetState();
            state.restore({ ...createSnapshot(), removed, index: REMOVED });
            const startMs = performance.now();
            state.apply({ kind: "remove-upstream", id: "last" }, REMOVED + 1);
            expect(performance.now() - startMs).to.be.below(MAX_MS);
            const copy = new FleetState();
            copy.restore(JSON.parse(JSON.stringify(state.getState())));
            expect((copy.getState() as SnapshotLists).removed).to.have.lengthOf(KEPT);
            for (const { life } of [...removed, { life: { name: "last" } }]) {
                expect(state.getLatestIncarnation(life.name)).to.deep.equal(copy.getLatestIncarnation(life.name));
            }
        });
    }
});
