import { expect } from "chai";
import { JSONRPCErrorCode, JSONRPCErrorException } from "json-rpc-2.0";
import { type ResendClaim, ResendClaims, type ResendDecision } from "../src/process/entry/resendClaims.js";
import { installClock, type InstalledClock } from "./installedClock.js";

const MAX_WAIT_MS = 1_000;

describe("an entry asks the leader before it sends a request again", () => {
    let clock: InstalledClock;

    beforeEach(() => {
        clock = installClock();
    });

    afterEach(() => {
        clock.uninstall();
    });

    const oldBuild = new JSONRPCErrorException("Method not found", JSONRPCErrorCode.MethodNotFound);
    const rows: readonly {
        readonly title: string;
        /** The leader's answers; the last one is repeated. */
        readonly answers: readonly (string | Error)[];
        readonly claim?: Partial<ResendClaim>;
        readonly decision: ResendDecision;
        readonly asked: number;
    }[] = [
        { title: "granted", answers: ["granted"], decision: "granted", asked: 1 },
        { title: "quarantined", answers: ["quarantined"], decision: "quarantined", asked: 1 },
        { title: "another attempt ends", answers: ["pending", "pending", "granted"], decision: "granted", asked: 3 },
        { title: "a new leader is elected", answers: ["not-leader", "granted"], decision: "granted", asked: 2 },
        { title: "no leader answers", answers: [new Error("none")], decision: "undecided", asked: 21 },
        {
            title: "a leader of an older build does not know the method",
            answers: [oldBuild],
            decision: "granted",
            asked: 1,
        },
        {
            title: "the same request has completed",
            answers: ["pending"],
            claim: { isNeeded: () => performance.now() < 200 },
            decision: "granted",
            asked: 4,
        },
        {
            title: "the leader does not know the crash seen here",
            answers: ["granted"],
            claim: { waitUntilStored: () => Promise.resolve(false) },
            decision: "undecided",
            asked: 0,
        },
    ];
    for (const { title, answers, claim, decision, asked } of rows) {
        it(title, async () => {
            let count = 0;
            const claims = new ResendClaims({
                getNowMs: () => performance.now(),
                log: { record: () => undefined },
                askLeader: () => {
                    const answer = answers[Math.min(count, answers.length - 1)];
                    count += 1;
                    return answer instanceof Error ? Promise.reject(answer) : Promise.resolve({ outcome: answer });
                },
            });
            const decided = claims.claim({
                fingerprint: "f",
                maxWaitMs: MAX_WAIT_MS,
                isNeeded: () => true,
                waitUntilStored: () => Promise.resolve(true),
                ...claim,
            });
            await clock.tickAsync(MAX_WAIT_MS + 100);
            expect([await decided, count]).to.deep.equal([decision, asked]);
        });
    }

    it("of equal requests one asks at a time", async () => {
        let isAsking = false;
        let overlaps = 0;
        const claims = new ResendClaims({
            getNowMs: () => performance.now(),
            log: { record: () => undefined },
            askLeader: async () => {
                overlaps += isAsking ? 1 : 0;
                isAsking = true;
                await new Promise((resolve) => setTimeout(resolve, 20));
                isAsking = false;
                return { outcome: "granted" };
            },
        });
        const claim: ResendClaim = {
            fingerprint: "f",
            maxWaitMs: MAX_WAIT_MS,
            isNeeded: () => true,
            waitUntilStored: () => Promise.resolve(true),
        };
        const decided = Promise.all(Array.from({ length: 4 }, () => claims.claim(claim)));
        await clock.tickAsync(MAX_WAIT_MS);
        expect([await decided, overlaps]).to.deep.equal([new Array(4).fill("granted"), 0]);
    });
});
