/*
 * Faults of the system for tests of whole processes, by LD_PRELOAD: a wall clock that is stepped
 * and calls that fail for a moment. What goes wrong is read from a small file that the test maps,
 * too, named by FAULTS_CONTROL; its fields are 64 bit integers in this machine's order.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum field {
  WALL_CLOCK_OFFSET_NANOS, /* added to the wall clock */
  FAILING_ACCEPTS,         /* so many accepts fail from now on */
  ACCEPT_ERRNO,
  FAILING_SOCKETS,
  SOCKET_ERRNO,
  FAILING_CONNECTS,
  CONNECT_ERRNO,
  FAILING_SYNCS,
  SYNC_ERRNO,
  FAILING_CONFIG_READS, /* so many reads of the file that EDGE_CONFIG names fail */
  CONFIG_READ_ERRNO,
  HELD_CONFIG_READS, /* so many of them return late */
  HOLD_NANOS,
  FIELDS
};

static volatile int64_t *control;

__attribute__((constructor)) static void map_control(void) {
  const char *path = getenv("FAULTS_CONTROL");
  int fd = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
  if (fd < 0) {
    return;
  }
  void *mapped =
      mmap(NULL, FIELDS * sizeof(int64_t), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  if (mapped != MAP_FAILED) {
    control = mapped;
  }
  close(fd);
}

/* Whether this call is one of so many that are counted down. */
static int counted(enum field count) {
  return control && control[count] > 0 &&
         __atomic_sub_fetch(&control[count], 1, __ATOMIC_SEQ_CST) >= 0;
}

/* Whether this call is one of those that fail; errno is set then. */
static int fails(enum field count, enum field error) {
  if (!counted(count)) {
    return 0;
  }
  errno = (int)control[error];
  return 1;
}

int clock_gettime(clockid_t clock, struct timespec *time) {
  static int (*real)(clockid_t, struct timespec *);
  if (!real) {
    real = dlsym(RTLD_NEXT, "clock_gettime");
  }
  int result = real(clock, time);
  if (result == 0 && control && clock == CLOCK_REALTIME) {
    int64_t nanos = time->tv_sec * 1000000000LL + time->tv_nsec;
    nanos += control[WALL_CLOCK_OFFSET_NANOS];
    time->tv_sec = nanos / 1000000000LL;
    time->tv_nsec = nanos % 1000000000LL;
  }
  return result;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone) {
  (void)zone;
  struct timespec precise;
  int result = clock_gettime(CLOCK_REALTIME, &precise);
  time->tv_sec = precise.tv_sec;
  time->tv_usec = precise.tv_nsec / 1000;
  return result;
}

int accept(int fd, struct sockaddr *restrict address, socklen_t *restrict length) {
  static int (*real)(int, struct sockaddr *, socklen_t *);
  if (!real) {
    real = dlsym(RTLD_NEXT, "accept");
  }
  return fails(FAILING_ACCEPTS, ACCEPT_ERRNO) ? -1 : real(fd, address, length);
}

int socket(int domain, int type, int protocol) {
  static int (*real)(int, int, int);
  if (!real) {
    real = dlsym(RTLD_NEXT, "socket");
  }
  return fails(FAILING_SOCKETS, SOCKET_ERRNO) ? -1 : real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
  static int (*real)(int, const struct sockaddr *, socklen_t);
  if (!real) {
    real = dlsym(RTLD_NEXT, "connect");
  }
  return fails(FAILING_CONNECTS, CONNECT_ERRNO) ? -1 : real(fd, address, length);
}

int fsync(int fd) {
  static int (*real)(int);
  if (!real) {
    real = dlsym(RTLD_NEXT, "fsync");
  }
  return fails(FAILING_SYNCS, SYNC_ERRNO) ? -1 : real(fd);
}

int fdatasync(int fd) {
  static int (*real)(int);
  if (!real) {
    real = dlsym(RTLD_NEXT, "fdatasync");
  }
  return fails(FAILING_SYNCS, SYNC_ERRNO) ? -1 : real(fd);
}

/* Whether a file is, or was until it was replaced, the process's configuration. */
static int is_configuration(int fd) {
  const char *path = getenv("EDGE_CONFIG");
  char link[64];
  char target[4096];
  snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
  ssize_t length = path ? readlink(link, target, sizeof target - 1) : -1;
  return length > 0 && strncmp(target, path, strlen(path)) == 0;
}

ssize_t read(int fd, void *buffer, size_t count) {
  static ssize_t (*real)(int, void *, size_t);
  if (!real) {
    real = dlsym(RTLD_NEXT, "read");
  }
  int planned = control && (control[FAILING_CONFIG_READS] > 0 || control[HELD_CONFIG_READS] > 0);
  if (!planned || !is_configuration(fd)) {
    return real(fd, buffer, count);
  }
  if (fails(FAILING_CONFIG_READS, CONFIG_READ_ERRNO)) {
    return -1;
  }
  ssize_t result = real(fd, buffer, count);
  if (result > 0 && counted(HELD_CONFIG_READS)) {
    struct timespec hold = {control[HOLD_NANOS] / 1000000000LL, control[HOLD_NANOS] % 1000000000LL};
    nanosleep(&hold, NULL);
  }
  return result;
}
