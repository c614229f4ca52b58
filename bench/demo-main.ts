/**
 * Runs a demo: of the users' platform with `--platform`, otherwise of the published target contract.
 */
import process from 'node:process';

await import(process.argv.includes('--platform') ? './platform-demo.js' : './demo.js');
