/** Real processes of the service on loopback: started, killed, paused, and ended by pid. */
import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, mkdirSync, writeFileSync, type WriteStream } from 'node:fs';
import { join } from 'node:path';
import { serviceFlags } from '../fakes/service-flags.js';

interface Running {
  child: ChildProcess;
  /** Ended by this program, and not of its own accord. */
  isEnding: boolean;
}

export class Controllers {
  private readonly running = new Map<string, Running>();
  private readonly output: WriteStream;
  private isOver = false;
  /** Processes that ended by themselves: none may. */
  readonly unexpectedExits: string[] = [];

  constructor(
    private readonly program: string,
    private readonly folder: string,
    private readonly note: (what: string) => void,
  ) {
    mkdirSync(folder, { recursive: true });
    this.output = createWriteStream(join(folder, 'controllers.log'));
  }

  /** Sets the settings (TOML) with which a controller is started from now on. */
  configure(host: string, settings: string): void {
    writeFileSync(this.settingsPath(host), settings);
  }

  start(host: string): void {
    if (this.isOver || this.running.has(host)) return;
    const child = spawn(
      process.execPath,
      [...serviceFlags(), this.program, 'serve', '--config', this.settingsPath(host)],
      { stdio: ['ignore', 'ignore', 'pipe'], env: { ...process.env, LOG_LEVEL: 'info' } },
    );
    const running: Running = { child, isEnding: false };
    this.running.set(host, running);
    child.stderr.on('data', (bytes: Buffer) => {
      this.output.write(bytes);
    });
    child.on('exit', (code, signal) => {
      if (this.running.get(host) === running) this.running.delete(host);
      if (running.isEnding) return;
      this.unexpectedExits.push(`${host}: code ${String(code)}, signal ${String(signal)}`);
      this.note(`${host} ended by itself: code ${String(code)}, signal ${String(signal)}`);
    });
    this.note(`${host} started, pid ${String(child.pid)}`);
  }

  kill(host: string): void {
    const running = this.running.get(host);
    if (!running) return;
    running.isEnding = true;
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

  /** Ends all of them, and starts none any more. */
  end(): void {
    this.isOver = true;
    for (const host of [...this.running.keys()]) this.kill(host);
    this.output.end();
  }

  private settingsPath(host: string): string {
    return join(this.folder, `${host}.toml`);
  }
}
