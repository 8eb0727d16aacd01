/**
 * Machines taken out for work: this balancer's part. {@code meadowtrack.work} settles, the log is
 * kept by {@code maplehall.agreement}; see {@code docs/design/work.md}.
 */
package maplehall.work;
