/**
 * The few operations on files that durable state needs. Tests pass in a folder that crashes.
 */
import { randomUUID } from "node:crypto";
import { mkdir, open, readdir, readFile, rename, rm } from "node:fs/promises";
import { join } from "node:path";

/** A folder whose writes last once their promise resolves. */
export interface Folder {
    /** Names of the files. */
    readonly list: () => Promise<readonly string[]>;
    /** Content of a file, or undefined where there is none. */
    readonly read: (name: string) => Promise<Buffer | undefined>;
    /** Appends to a file and syncs it; makes it where it is missing. */
    readonly append: (name: string, content: Buffer) => Promise<void>;
    /** Puts a whole file in the place of the old one, so that a crash leaves one of the two. */
    readonly replace: (name: string, content: Buffer) => Promise<void>;
    readonly remove: (name: string) => Promise<void>;
}

/**
 * Opens a folder on disk.
 * @param path - the folder; it is made where it is missing
 * @returns operations that sync before they resolve
 */
export async function openDiskFolder(path: string): Promise<Folder> {
    await mkdir(path, { recursive: true });
    await syncPath(path);
    const known = new Set(await readdir(path));
    return {
        list: () => readdir(path),
        read: (name) => readFile(join(path, name)).catch(handleMissing),
        append: async (name, content) => {
            await writeSynced(join(path, name), "a", content);
            if (!known.has(name)) {
                await syncPath(path);
                known.add(name);
            }
        },
        replace: async (name, content) => {
            const temporary = join(path, `${name}.${randomUUID()}.tmp`);
            await writeSynced(temporary, "w", content);
            await rename(temporary, join(path, name));
            await syncPath(path);
            known.add(name);
        },
        remove: async (name) => {
            await rm(join(path, name), { force: true });
            known.delete(name);
        },
    };
}

function handleMissing(error: unknown): undefined {
    if (error instanceof Error && "code" in error && error.code === "ENOENT") {
        return undefined;
    }
    throw error;
}

async function writeSynced(path: string, flags: string, content: Buffer): Promise<void> {
    const file = await open(path, flags);
    try {
        await file.writeFile(content);
        await file.datasync();
    }
    finally {
        await file.close();
    }
}

async function syncPath(path: string): Promise<void> {
    const folder = await open(path, "r");
    try {
        await folder.sync();
    }
    finally {
        await folder.close();
    }
}
