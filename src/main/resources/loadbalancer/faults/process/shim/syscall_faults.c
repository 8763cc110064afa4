/*
 * Makes system calls of one process fail, come short or wait, and shifts its wall clock, as a page of
 * shared memory says. Preloaded into children of the test rig only; the rig writes the page while the
 * process runs. The monotonic clock is left alone.
 *
 * The page is an array of 64-bit words in the byte order of the machine; SyscallFaultPage.java writes it.
 * Word 0: nanoseconds added to the wall clock. Words 1 and 2: a write to a socket is held up for so many
 * microseconds, with a chance in a million. From word 8 on four words for each kind of call: the errno to
 * report, the chance in a million, how often it was done, and how often it may still be done (negative:
 * without limit).
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum { ACCEPT, SOCKET, CONNECT, READ, WRITE, SHORT_READ, SHORT_WRITE, EPOLL_WAIT, FILE_WRITE, FSYNC, RENAME };
enum { CLOCK_OFFSET = 0, HOLD_UP_MICROS = 1, HOLD_UP_CHANCE = 2, FIRST_KIND = 8, WORDS_PER_KIND = 4 };
enum { FAULT_ERRNO, FAULT_CHANCE, FAULT_COUNT, FAULT_LEFT };
enum { PAGE_BYTES = 4096, MOST_DESCRIPTORS = 65536, MILLION = 1000000, NANOS = 1000000000 };
/* What is known of a descriptor. */
enum { OTHER, SERVING_SOCKET, CONNECTED_SOCKET };

static volatile int64_t *page;
static unsigned char kinds[MOST_DESCRIPTORS];
static __thread uint64_t random_state;

#define REAL(name) \
    static __typeof__(&name) real_##name; \
    if (!real_##name) real_##name = (__typeof__(&name)) dlsym(RTLD_NEXT, #name)

__attribute__((constructor)) static void map_page(void) {
    const char *path = getenv("LOAD_BALANCER_FAULT_PAGE");
    if (!path) return;
    int fd = open(path, O_RDWR | O_CLOEXEC);
    if (fd < 0) abort(); /* a rig that asked for faults must not go on without */
    void *mapped = mmap(NULL, PAGE_BYTES, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    if (mapped == MAP_FAILED) abort();
    page = mapped;
    close(fd);
}

static uint32_t draw(uint32_t below) {
    if (!random_state) {
        struct timespec now;
        REAL(clock_gettime);
        real_clock_gettime(CLOCK_MONOTONIC, &now);
        random_state = ((uint64_t) now.tv_nsec << 32) ^ (uint64_t) (uintptr_t) &random_state ^ 0x9e3779b97f4a7c15ULL;
    }
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return (uint32_t) (random_state >> 33) % below;
}

/* Whether a call of that kind is to go wrong now; sets errno. */
static int fails(int kind) {
    if (!page) return 0;
    volatile int64_t *fault = page + FIRST_KIND + WORDS_PER_KIND * kind;
    if (fault[FAULT_CHANCE] <= 0 || draw(MILLION) >= (uint64_t) fault[FAULT_CHANCE]) return 0;
    if (fault[FAULT_LEFT] == 0) return 0;
    if (fault[FAULT_LEFT] > 0) __atomic_fetch_sub(&fault[FAULT_LEFT], 1, __ATOMIC_RELAXED);
    __atomic_fetch_add(&fault[FAULT_COUNT], 1, __ATOMIC_RELAXED);
    errno = (int) fault[FAULT_ERRNO];
    return 1;
}

static int kind_of(int fd) {
    return fd >= 0 && fd < MOST_DESCRIPTORS ? kinds[fd] : OTHER;
}

static void mark(int fd, int kind) {
    if (fd >= 0 && fd < MOST_DESCRIPTORS) kinds[fd] = (unsigned char) kind;
}

static int is_regular_file(int fd) {
    struct stat status;
    return fd > 2 && kind_of(fd) == OTHER && !fstat(fd, &status) && S_ISREG(status.st_mode);
}

static void hold_up(void) {
    if (page && page[HOLD_UP_CHANCE] > 0 && draw(MILLION) < (uint64_t) page[HOLD_UP_CHANCE]) {
        struct timespec pause = {0, (long) page[HOLD_UP_MICROS] * 1000};
        int before = errno;
        nanosleep(&pause, NULL);
        errno = before;
    }
}

/* A connection that broke: the rest of it is gone too, and the error is what the system reports of it. */
static int breaks(int fd, int kind) {
    if (kind_of(fd) != CONNECTED_SOCKET || !fails(kind)) return 0;
    int error = errno;
    shutdown(fd, SHUT_RDWR);
    errno = error;
    return 1;
}

static size_t shorter(int fd, size_t bytes, int kind) {
    return bytes > 1 && kind_of(fd) != OTHER && fails(kind) ? 1 + draw((uint32_t) (bytes > 4096 ? 4096 : bytes) - 1)
            : bytes;
}

/* ---- Clocks ---- */

static void shift(struct timespec *time) {
    int64_t nanos = time->tv_nsec + page[CLOCK_OFFSET] % NANOS;
    time->tv_sec += page[CLOCK_OFFSET] / NANOS + (nanos >= NANOS) - (nanos < 0);
    time->tv_nsec = (nanos + NANOS) % NANOS;
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    REAL(clock_gettime);
    int result = real_clock_gettime(clock, time);
    if (!result && page && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) shift(time);
    return result;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone) {
    (void) zone;
    struct timespec now;
    int result = clock_gettime(CLOCK_REALTIME, &now);
    time->tv_sec = now.tv_sec;
    time->tv_usec = now.tv_nsec / 1000;
    return result;
}

time_t time(time_t *into) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (into) *into = now.tv_sec;
    return now.tv_sec;
}

/* ---- Sockets ---- */

int socket(int domain, int type, int protocol) {
    REAL(socket);
    if (fails(SOCKET)) return -1;
    int fd = real_socket(domain, type, protocol);
    mark(fd, SERVING_SOCKET);
    return fd;
}

int accept(int fd, struct sockaddr *restrict address, socklen_t *restrict length) {
    REAL(accept);
    if (fails(ACCEPT)) return -1;
    int accepted = real_accept(fd, address, length);
    mark(accepted, SERVING_SOCKET);
    return accepted;
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    if (fails(CONNECT)) return -1;
    mark(fd, CONNECTED_SOCKET);
    return real_connect(fd, address, length);
}

int close(int fd) {
    REAL(close);
    mark(fd, OTHER);
    return real_close(fd);
}

ssize_t read(int fd, void *into, size_t bytes) {
    REAL(read);
    if (breaks(fd, READ)) return -1;
    return real_read(fd, into, shorter(fd, bytes, SHORT_READ));
}

ssize_t readv(int fd, const struct iovec *parts, int count) {
    REAL(readv);
    if (breaks(fd, READ)) return -1;
    return real_readv(fd, parts, count);
}

ssize_t write(int fd, const void *from, size_t bytes) {
    REAL(write);
    if (kind_of(fd) != OTHER) hold_up();
    if (breaks(fd, WRITE)) return -1;
    if (page && page[FIRST_KIND + WORDS_PER_KIND * FILE_WRITE + FAULT_CHANCE] > 0 && is_regular_file(fd)
            && fails(FILE_WRITE)) {
        return -1;
    }
    return real_write(fd, from, shorter(fd, bytes, SHORT_WRITE));
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev);
    if (kind_of(fd) != OTHER) hold_up();
    if (breaks(fd, WRITE)) return -1;
    if (count > 0 && kind_of(fd) != OTHER && parts[0].iov_len > 1 && fails(SHORT_WRITE)) {
        REAL(write);
        return real_write(fd, parts[0].iov_base, parts[0].iov_len / 2);
    }
    return real_writev(fd, parts, count);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    REAL(epoll_wait);
    if (fails(EPOLL_WAIT)) return -1;
    return real_epoll_wait(fd, events, most, timeout);
}

/* ---- Files ---- */

ssize_t pwrite64(int fd, const void *from, size_t bytes, off64_t at) {
    REAL(pwrite64);
    if (is_regular_file(fd) && fails(FILE_WRITE)) return -1;
    return real_pwrite64(fd, from, bytes, at);
}

int fsync(int fd) {
    REAL(fsync);
    if (fails(FSYNC)) return -1;
    return real_fsync(fd);
}

int fdatasync(int fd) {
    REAL(fdatasync);
    if (fails(FSYNC)) return -1;
    return real_fdatasync(fd);
}

int rename(const char *from, const char *to) {
    REAL(rename);
    if (fails(RENAME)) return -1;
    return real_rename(from, to);
}
