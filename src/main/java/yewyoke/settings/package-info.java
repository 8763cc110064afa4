/** Files that operators write for themselves, beside the configuration that the platform writes. */
package yewyoke.settings;
