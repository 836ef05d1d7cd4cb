/**
 * DOC: corpus-main.c - runs a fuzz target over the files of a corpus, without libFuzzer
 *
 * Takes the directory of the corpus as argument, CORPUS by default. Exits with 0 if there
 * is at least one file and all could be read and processed.
 */
#include <dirent.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size_bytes);

/* Returns -1 if the file cannot be read. A fuzz target that detects an error calls
 * abort(), which ends the process and so fails the whole test. */
static int
run_file (const char *directory, const char *name)
{
  char path[4096];
  FILE *in;
  uint8_t *data;
  long size_bytes;
  int status = 0;

  snprintf (path, sizeof path, "%s/%s", directory, name);
  in = fopen (path, "rb");
  if (in == NULL)
    return -1;
  fseek (in, 0, SEEK_END);
  size_bytes = ftell (in);
  rewind (in);
  data = malloc ((size_t)size_bytes + 1);
  if (fread (data, 1, (size_t)size_bytes, in) != (size_t)size_bytes)
    status = -1;
  else
    LLVMFuzzerTestOneInput (data, (size_t)size_bytes);
  free (data);
  fclose (in);
  return status;
}

int
main (int argc, char **argv)
{
  const char *directory = argc > 1 ? argv[1] : CORPUS;
  DIR *files = opendir (directory);
  uint32_t passed = 0;
  uint32_t failed = 0;

  if (files == NULL)
    return 2;
  for (const struct dirent *file = readdir (files); file != NULL;
       file = readdir (files)) {
    if (file->d_name[0] == '.')
      continue;
    if (run_file (directory, file->d_name) == 0)
      passed++;
    else
      failed++;
  }
  closedir (files);
  printf ("%s: %u passed, %u failed\n", NAME, passed, failed);
  return passed > 0 && failed == 0 ? 0 : 1;
}
