/**
 * Lets messages that answer a message at once travel back in its HTTP answer, in place of exchanges of their own.
 */

/** Collects messages to one peer while one of its messages is being handled. */
export class ReplyCollector<Message> {
    private current: { readonly to: string; readonly replies: Message[]; } | undefined;

    /**
     * Handles a message and collects what is sent to its sender meanwhile.
     * @param from - the sender
     * @param handle - handles the message, without waiting for anything
     * @returns the answers
     */
    collect(from: string, handle: () => void): readonly Message[] {
        const replies: Message[] = [];
        this.current = { to: from, replies };
        try {
            handle();
        }
        finally {
            this.current = undefined;
        }
        return replies;
    }

    /**
     * Takes a message that is about to be sent.
     * @param to - its addressee
     * @param message - the message
     * @returns false where it has to be sent by itself
     */
    tryCollect(to: string, message: Message): boolean {
        if (this.current?.to !== to) {
            return false;
        }
        this.current.replies.push(message);
        return true;
    }
}
