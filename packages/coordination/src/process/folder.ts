/**
 * The file operations that durable state needs. Tests substitute a folder that simulates crashes.
 */
import { randomUUID } from "node:crypto";
import { mkdir, open, readdir, readFile, rename, rm } from "node:fs/promises";
import { join } from "node:path";

/** A folder whose writes are durable once their promise resolves. */
export interface Folder {
    /** Names of the files. */
    readonly list: () => Promise<readonly string[]>;
    /** Content of a file, or undefined if it does not exist. */
    readonly read: (name: string) => Promise<Buffer | undefined>;
    /** Appends to a file and syncs it; creates the file if it does not exist. */
    readonly append: (name: string, content: Buffer) => Promise<void>;
    /** Replaces a file atomically: after a crash either the old or the new content is there. */
    readonly replace: (name: string, content: Buffer) => Promise<void>;
    readonly remove: (name: string) => Promise<void>;
}

/** Name of the file in which `replace` prepares the new content. */
const temporaryPattern = /\.[\da-f-]{36}\.tmp$/;

/**
 * Opens a folder on disk, and removes what interrupted replacements left there.
 * @param path - the folder; created if it does not exist
 * @returns operations that sync before they resolve
 */
export async function openDiskFolder(path: string): Promise<Folder> {
    await mkdir(path, { recursive: true });
    await removeTemporaryFiles(path);
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
            try {
                await writeSynced(temporary, "w", content);
                await rename(temporary, join(path, name));
            }
            catch (error) {
                // A full disk would stay full if each attempt left a file behind.
                await rm(temporary, { force: true }).catch(() => undefined);
                throw error;
            }
            await syncPath(path);
            known.add(name);
        },
        remove: async (name) => {
            await rm(join(path, name), { force: true });
            known.delete(name);
        },
    };
}

async function removeTemporaryFiles(path: string): Promise<void> {
    for (const name of await readdir(path)) {
        if (temporaryPattern.test(name)) {
            await rm(join(path, name), { force: true });
        }
    }
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
