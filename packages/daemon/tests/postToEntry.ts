import { request } from "undici";

/** What a caller saw. */
export interface ObservedResponse {
    readonly status: number | undefined;
    readonly body: string;
    readonly retryAfter: unknown;
}

/** Asks an entry once. */
export async function postToEntry(url: string): Promise<ObservedResponse> {
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
