/**
 * The link between all entries and one plain service: a proxy with faults in one or both directions.
 */
import { Link, LinkProxy, type LinkState } from "./linkProxy.js";

/** State of the link; the target is the service. */
export type SoakLinkState =
    | { readonly kind: "sound"; }
    | { readonly kind: "delayed"; readonly delayMs: number; }
    /** Bytes to the target arrive; bytes from the target are lost. */
    | { readonly kind: "one-way"; }
    /** All bytes are lost, and connections stay open. */
    | { readonly kind: "silent"; };

/** A link to a service, shared by all entries. */
export class SoakLink {
    private constructor(
        private readonly proxy: LinkProxy,
        private readonly toTarget: Link,
        private readonly fromTarget: Link,
    ) {}

    /**
     * Opens a link.
     * @param target - host and port of the service
     * @returns the link, once its proxy listens
     */
    static async open(target: string): Promise<SoakLink> {
        const [toTarget, fromTarget] = [new Link(), new Link()];
        const proxy = await LinkProxy.open({ target, getLinks: () => ({ toTarget, fromTarget }) });
        return new SoakLink(proxy, toTarget, fromTarget);
    }

    /** Host and port at which entries reach the service. */
    get address(): string {
        return this.proxy.address;
    }

    /**
     * Sets the state of both directions.
     * @param state - the new state
     */
    setLink(state: SoakLinkState): void {
        const dropped: LinkState = { kind: "dropped" };
        switch (state.kind) {
            case "sound":
            case "delayed":
                this.toTarget.setState(state);
                this.fromTarget.setState(state);
                return;
            case "one-way":
                this.toTarget.setState({ kind: "sound" });
                this.fromTarget.setState(dropped);
                return;
            case "silent":
                this.toTarget.setState(dropped);
                this.fromTarget.setState(dropped);
        }
    }

    /** Resets all open connections. */
    reset(): void {
        this.proxy.reset();
    }

    /** Closes the proxy and resets all its connections. */
    close(): void {
        this.proxy.close();
    }
}
