import { expect } from "chai";
import {
    computeLateShareOf,
    computeUnevenness,
    LinkReplay,
    type LinkReplayOptions,
    type LinkReplayResult,
} from "./linkReplay.js";

const LOSS_MS = 5_000;
const LOSS_END_MS = 10_000;
/** A loss of five seconds is detected early enough that most streams that start during it are spared. */
const DETECTION_MS = 2_000;
/** The links are used again within ten seconds; until then the load is less even. */
const RECOVERY_MS = 10_000;
/** One request in 50 tries the links, so that 2 in 100 are expected; a quarter is late without any choice. */
const MAX_LATE_SHARE = 0.06;
const UNEVEN_ENGINES = { a: 12, b: 8, c: 4 };
const ENGINES = 24;

const isDuringLoss = (nowMs: number): boolean => nowMs >= LOSS_MS && nowMs < LOSS_END_MS;
const loseAroundA: LinkReplayOptions["getLoss"] = (from, to, nowMs) =>
    isDuringLoss(nowMs) && from !== to && (from === "a" || to === "a") ? 0.04 : 0;
const loseAcross: LinkReplayOptions["getLoss"] = (from, to, nowMs) => isDuringLoss(nowMs) && from !== to ? 0.04 : 0;
const loseEverywhere: LinkReplayOptions["getLoss"] = (_from, _to, nowMs) => isDuringLoss(nowMs) ? 0.04 : 0;

function run(options: Partial<LinkReplayOptions>): LinkReplayResult {
    return new LinkReplay({ policy: "fleet-sums", entries: 69, endMs: 20_000, ...options }).run();
}

function listPairs({ changes }: LinkReplayResult, change: string): string[] {
    return [
        ...new Set(
            changes.filter((one) => one["change"] === change).map((one) =>
                `${String(one["from"])}${String(one["to"])}`
            ),
        ),
    ].sort();
}

/** Streams that started once all entries had heard of the loss. */
const computeLateAfter = ({ streams }: LinkReplayResult): number =>
    computeLateShareOf(streams, LOSS_MS + DETECTION_MS, LOSS_END_MS - 500);

for (const entries of [69, 132]) {
    describe(`links that lose packets are avoided by ${String(entries)} entries`, () => {
        const aroundA = ["ab", "ac", "ba", "ca"];
        const rows: readonly {
            readonly title: string;
            readonly options: Partial<LinkReplayOptions>;
            readonly pairs: readonly string[];
            /** Bounds of the late streams among those that started after the detection. */
            readonly minLate?: number;
            readonly maxLate: number;
        }[] = [
            {
                title: "not before this build: a quarter of the streams is late",
                options: { policy: "none", getLoss: loseAroundA },
                pairs: aroundA,
                minLate: 0.2,
                maxLate: 1,
            },
            {
                title: "not by each entry's own counts, which are too few",
                options: { policy: "own-observations", getLoss: loseAroundA },
                pairs: aroundA,
                minLate: 0.2,
                maxLate: 1,
            },
            { title: "by sums", options: { getLoss: loseAroundA }, pairs: aroundA, maxLate: MAX_LATE_SHARE },
            {
                title: "of the leader's domain",
                options: { getLoss: loseAroundA, leaderDomain: "a" },
                pairs: aroundA,
                maxLate: MAX_LATE_SHARE,
            },
            {
                title: "in all directions",
                options: { getLoss: loseAcross },
                pairs: ["ab", "ac", "ba", "bc", "ca", "cb"],
                maxLate: MAX_LATE_SHARE,
            },
            {
                title: "with engines divided unevenly",
                options: { getLoss: loseAroundA, engines: UNEVEN_ENGINES },
                pairs: aroundA,
                maxLate: MAX_LATE_SHARE,
            },
            {
                title: "while there is no leader for 1.5 s",
                options: {
                    getLoss: loseAroundA,
                    hasLeader: (nowMs) => nowMs < 7_000 || nowMs >= 8_500,
                    getTerm: (nowMs) => nowMs < 8_500 ? 1 : 2,
                },
                pairs: aroundA,
                maxLate: MAX_LATE_SHARE,
            },
            {
                title: "across a change of leader",
                options: { getLoss: loseAroundA, getTerm: (nowMs) => nowMs < 7_000 ? 1 : 2 },
                pairs: aroundA,
                maxLate: MAX_LATE_SHARE,
            },
            {
                title: "when half of the entries restart",
                options: { getLoss: loseAroundA, restartMs: 6_500 },
                pairs: aroundA,
                maxLate: MAX_LATE_SHARE,
            },
            {
                title: "although some reports are invalid",
                options: {
                    getLoss: loseAroundA,
                    corrupt: (index, links) => index % 6 === 1 ? { a: { events_per_s: -1, gaps_per_s: "x" } } : links,
                },
                pairs: aroundA,
                maxLate: MAX_LATE_SHARE,
            },
            {
                title: "although one entry claims that all is late inside its domain",
                options: {
                    getLoss: loseAroundA,
                    corrupt: (index, links) => index === 4 ? { b: { events_per_s: 1e9, gaps_per_s: 1e9 } } : links,
                },
                pairs: aroundA,
                maxLate: MAX_LATE_SHARE,
            },
            {
                title: "by those entries that run this build",
                options: { getLoss: loseAroundA, isOldEntry: (index) => index % 2 === 0 },
                pairs: aroundA,
                minLate: MAX_LATE_SHARE,
                maxLate: 0.22,
            },
            {
                title: "not with a voter of the build before",
                options: { getLoss: loseAroundA, isOldVoter: true },
                pairs: [],
                minLate: 0.2,
                maxLate: 1,
            },
        ];
        for (const { title, options, pairs, minLate = 0, maxLate } of rows) {
            it(title, () => {
                const result = run({ ...options, entries });
                expect(listPairs(result, "begun")).to.deep.equal(pairs);
                expect(listPairs(result, "ended")).to.deep.equal(pairs);
                expect(computeLateAfter(result)).to.be.within(minLate, maxLate);
                expect(result.maxReportBytes).to.be.below(250);
                expect(result.maxAnswerBytes).to.be.below(400);
            });
        }

        it("soon, and used again soon after", () => {
            const { changes } = run({ entries, getLoss: loseAroundA });
            const [begun, ended] = ["begun", "ended"].map((change) =>
                changes.filter((one) => one["change"] === change).map(({ atMs }) => atMs)
            );
            expect(Math.max(...begun ?? [])).to.be.below(LOSS_MS + DETECTION_MS);
            expect(Math.min(...ended ?? [])).to.be.above(LOSS_END_MS);
            expect(Math.max(...ended ?? [])).to.be.below(LOSS_END_MS + RECOVERY_MS);
        });

        it("without the uneven load that a constant preference for the own domain costs", () => {
            const [sums, ownDomain] = (["fleet-sums", "always-own-domain"] as const).map((policy) =>
                computeUnevenness(run({ entries, policy, engines: UNEVEN_ENGINES }).streams, ENGINES, 0, 20_000)
            );
            expect(sums).to.be.below(1.3);
            expect(ownDomain).to.be.above(1.7);
        });
    });

    describe(`no link is blamed by ${String(entries)} entries`, () => {
        const rows: readonly { readonly title: string; readonly options: Partial<LinkReplayOptions>; }[] = [
            { title: "without a fault", options: {} },
            ...[400, 900].map((ms) => ({
                title: `for a path that is silent for ${String(ms)} ms and whose streams move`,
                options: { silent: { engine: "a0", fromMs: LOSS_MS, toMs: LOSS_MS + ms } },
            })),
            {
                title: "for the only path of a domain, which all entries see silent",
                options: {
                    engines: { a: 1, b: 2, c: 2 },
                    silent: { engine: "a0", fromMs: LOSS_MS, toMs: LOSS_MS + 900 },
                },
            },
            { title: "for paths with gaps of 150 ms as a rule", options: { gapMs: 110, jitterMs: 80 } },
            { title: "for paths with longer gaps", options: { gapMs: 150, jitterMs: 80 } },
            { title: "for losses everywhere", options: { getLoss: loseEverywhere } },
            {
                title: "for the invalid counts of one entry",
                options: {
                    corrupt: (index, links) =>
                        index === 4
                            ? { a: { events_per_s: 10, gaps_per_s: 1e9 }, c: { events_per_s: 1e9, gaps_per_s: 1e9 } }
                            : links,
                },
            },
        ];
        for (const { title, options } of rows) {
            it(title, () => {
                expect(run({ ...options, entries, endMs: 14_000 }).changes).to.deep.equal([]);
            });
        }
    });
}
