/** Atomic writes of files, and reads of files that other programs write. */
package heathswitch.proxy.files;
