import { err, ok, type Result } from 'neverthrow'
import { FolderDisk } from './disk'

/** File in the data folder that names the host to which the folder belongs. */
const OWNER_FILE = 'owner.json'

interface Owner {
  readonly host: string
}

/**
 * Claims a data folder for a host on first use, and rejects a folder that belongs to another host. This prevents a
 * misconfigured host from opening the data of another member.
 * @param folder - path of the data folder
 * @param host - name of this host in its settings
 * @returns nothing on success, or why this host cannot use the folder
 */
export async function claimDataFolder (folder: string, host: string): Promise<Result<void, Error>> {
  try {
    const disk = await FolderDisk.create(folder)
    if (!(await disk.list()).includes(OWNER_FILE)) {
      await disk.replace(OWNER_FILE, [Buffer.from(JSON.stringify({ host } satisfies Owner))])
      return ok(undefined)
    }
    const owner = JSON.parse(Buffer.from(await disk.read(OWNER_FILE)).toString()) as Owner
    if (owner.host === host) return ok(undefined)
    return err(new Error(`data folder ${folder} belongs to host ${owner.host}, not to ${host}: give this host a folder of its own`))
  } catch (error) {
    return err(new Error(`data folder ${folder} cannot be used: ${(error as Error).message}`))
  }
}
