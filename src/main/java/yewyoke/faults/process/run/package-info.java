/** Plays a plan with real processes, and says what came of it. */
package yewyoke.faults.process.run;
