/** The admin listener: a JSON API over HTTP/1.1 on a loopback address. */
package heathswitch.proxy.admin;
