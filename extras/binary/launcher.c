/* Starts the program that is appended to this file, in this same process.
 *
 * The file ends with an archive and a trailer. On the first run the archive is
 * unpacked into a folder named after its digest; every run then replaces this
 * process by the program there. No child process is started.
 *
 * Archive: entries of "mode size path\n" followed by size bytes; a size of -1
 * marks a folder. Trailer: archive size, 16 digits; digest, 64 digits; "CFYU".
 */

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define TRAILER_BYTES 84
#define SIZE_DIGITS 16
#define DIGEST_DIGITS 64
#define PATH_BYTES 4096
#define COPY_BYTES 65536
#define PROGRAM "comfreyusher"

static void fail(const char *what) {
    fprintf(stderr, PROGRAM ": cannot unpack: %s: %s\n", what, strerror(errno));
    exit(1);
}

static void copy_file(FILE *archive, const char *path, long size, int mode) {
    char buffer[COPY_BYTES];
    FILE *target = fopen(path, "wb");
    if (target == NULL) fail(path);
    while (size > 0) {
        size_t part = size < COPY_BYTES ? (size_t)size : COPY_BYTES;
        if (fread(buffer, 1, part, archive) != part) fail("archive");
        if (fwrite(buffer, 1, part, target) != part) fail(path);
        size -= (long)part;
    }
    if (fclose(target) != 0) fail(path);
    if (chmod(path, (mode_t)mode) != 0) fail(path);
}

static void unpack(FILE *archive, long end, const char *folder) {
    char line[PATH_BYTES], name[PATH_BYTES], path[2 * PATH_BYTES];
    while (ftell(archive) < end) {
        int mode, start = 0;
        long size;
        if (fgets(line, sizeof line, archive) == NULL) fail("archive");
        if (sscanf(line, "%o %ld %n", &mode, &size, &start) < 2) fail("entry");
        snprintf(name, sizeof name, "%s", line + start);
        name[strcspn(name, "\n")] = '\0';
        snprintf(path, sizeof path, "%s/%s", folder, name);
        if (size < 0) {
            if (mkdir(path, 0700) != 0 && errno != EEXIST) fail(path);
        } else {
            copy_file(archive, path, size, mode);
        }
    }
}

int main(int argc, char **argv) {
    char trailer[TRAILER_BYTES + 1], digest[DIGEST_DIGITS + 1];
    char folder[PATH_BYTES], unpacked[PATH_BYTES + 32], program[2 * PATH_BYTES];
    const char *base = getenv("COMFREYUSHER_UNPACK_DIR");
    FILE *self = fopen("/proc/self/exe", "rb");
    (void)argc;
    if (self == NULL) fail("/proc/self/exe");
    if (fseek(self, -TRAILER_BYTES, SEEK_END) != 0) fail("trailer");
    long end = ftell(self);
    if (fread(trailer, 1, TRAILER_BYTES, self) != TRAILER_BYTES) fail("trailer");
    trailer[TRAILER_BYTES] = '\0';
    memcpy(digest, trailer + SIZE_DIGITS, DIGEST_DIGITS);
    digest[DIGEST_DIGITS] = '\0';
    trailer[SIZE_DIGITS] = '\0';
    long size = strtol(trailer, NULL, 10);
    if (base == NULL) base = "/tmp";
    snprintf(folder, sizeof folder, "%s/" PROGRAM "-%u-%.16s", base,
             (unsigned)getuid(), digest);
    snprintf(program, sizeof program, "%s/" PROGRAM, folder);
    if (access(program, X_OK) != 0) {
        snprintf(unpacked, sizeof unpacked, "%s.%d", folder, (int)getpid());
        if (mkdir(unpacked, 0700) != 0) fail(unpacked);
        if (fseek(self, end - size, SEEK_SET) != 0) fail("archive");
        unpack(self, end, unpacked);
        /* rename() fails if another process unpacked the same archive first; the
         * program in that process's folder is the same, and is used then. */
        if (rename(unpacked, folder) != 0 && access(program, X_OK) != 0) fail(folder);
    }
    struct stat owner;
    if (stat(folder, &owner) != 0 || owner.st_uid != getuid()) fail(folder);
    fclose(self);
    execv(program, argv);
    fail(program);
}
