import { request } from "undici";

/** What a caller saw. */
export interface Seen {
    readonly status: number | undefined;
    readonly body: string;
    readonly retryAfter: unknown;
}

/** Asks an entry once. */
export async function ask(url: string): Promise<Seen> {
    try {
        const answer = await request(url, { method: "POST", headers: { "x-id": "one" }, body: "b" });
        const body = await answer.body.text();
        return { status: answer.statusCode, body, retryAfter: answer.headers["retry-after"] };
    }
    catch {
        // A stream that broke off.
        return { status: undefined, body: "", retryAfter: undefined };
    }
}
