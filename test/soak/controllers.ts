/** Controller processes on loopback addresses: starts, kills, pauses and resumes them. */
import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, mkdirSync, writeFileSync, type WriteStream } from 'node:fs';
import { join } from 'node:path';
import { serviceFlags } from '../fakes/service-flags.js';

interface Running {
  child: ChildProcess;
  /** Set when this program kills the process, so that its exit is expected. */
  isStopping: boolean;
}

export class Controllers {
  private readonly running = new Map<string, Running>();
  private readonly output: WriteStream;
  private isShutDown = false;
  /** Processes that exited without being killed; any entry is a fault. */
  readonly unexpectedExits: string[] = [];

  constructor(
    private readonly program: string,
    private readonly folder: string,
    private readonly note: (what: string) => void,
  ) {
    mkdirSync(folder, { recursive: true });
    this.output = createWriteStream(join(folder, 'controllers.log'));
  }

  /** Writes the settings (TOML) for the next starts of a controller. */
  configure(host: string, settings: string): void {
    writeFileSync(this.settingsPath(host), settings);
  }

  start(host: string): void {
    if (this.isShutDown || this.running.has(host)) return;
    const child = spawn(
      process.execPath,
      [...serviceFlags(), this.program, 'serve', '--config', this.settingsPath(host)],
      { stdio: ['ignore', 'ignore', 'pipe'], env: { ...process.env, LOG_LEVEL: 'info' } },
    );
    const running: Running = { child, isStopping: false };
    this.running.set(host, running);
    child.stderr.on('data', (bytes: Buffer) => {
      this.output.write(bytes);
    });
    child.on('exit', (code, signal) => {
      if (this.running.get(host) === running) this.running.delete(host);
      if (running.isStopping) return;
      this.unexpectedExits.push(`${host}: code ${String(code)}, signal ${String(signal)}`);
      this.note(`${host} ended by itself: code ${String(code)}, signal ${String(signal)}`);
    });
    this.note(`${host} started, pid ${String(child.pid)}`);
  }

  kill(host: string): void {
    const running = this.running.get(host);
    if (!running) return;
    running.isStopping = true;
    this.running.delete(host);
    running.child.kill('SIGKILL');
    this.note(`${host} killed`);
  }

  pause(host: string): void {
    this.running.get(host)?.child.kill('SIGSTOP');
    this.note(`${host} paused`);
  }

  resume(host: string): void {
    this.running.get(host)?.child.kill('SIGCONT');
    this.note(`${host} resumed`);
  }

  isUp(host: string): boolean {
    return this.running.has(host);
  }

  /** Kills all controllers and ignores later starts. */
  shutDown(): void {
    this.isShutDown = true;
    for (const host of [...this.running.keys()]) this.kill(host);
    this.output.end();
  }

  private settingsPath(host: string): string {
    return join(this.folder, `${host}.toml`);
  }
}
