import { expect } from "chai";
import { computeSecretDigest, hasSecret } from "../src/process/httpServer.js";
import { authenticate } from "../src/request/callerRequest.js";
import type { ConfigurationView } from "../src/version/activeConfiguration.js";

describe("a secret is read as UTF-8", () => {
    const rows = [
        { secret: "secret-1", value: "secret-1" },
        { secret: "пароль", value: Buffer.from("пароль").toString("latin1") },
        { secret: "é", value: Buffer.from("é").toString("latin1") },
        { secret: "é", value: "é" },
    ];
    for (const { secret, value } of rows) {
        it(`${secret} as ${value}`, () => {
            const organisation = { name: "o", weight: 1, secret_sha256: computeSecretDigest(secret) };
            const view: Partial<ConfigurationView> = { organisations: new Map([["o", organisation]]) };
            const headers = { "x-organisation": "o", "authorization": `Bearer ${value}` };
            expect(hasSecret(headers.authorization, secret)).to.equal(true);
            expect(hasSecret(`${headers.authorization}x`, secret)).to.equal(false);
            expect(authenticate(headers, view as ConfigurationView)).to.equal(organisation);
        });
    }
});
