#include "cli.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

static const char *const colour_codes[] = {
  [CLI_PLAIN] = "",         [CLI_GOOD] = "\033[32m", [CLI_WARN] = "\033[33m",
  [CLI_BAD] = "\033[31;1m", [CLI_DIM] = "\033[2m",
};

void
cli_print (const Cli *cli, CliColour colour, const char *format, ...)
{
  bool coloured = cli->colour && colour != CLI_PLAIN;
  va_list args;

  if (coloured)
    fputs (colour_codes[colour], stdout);
  va_start (args, format);
  vprintf (format, args);
  va_end (args);
  if (coloured)
    fputs ("\033[0m", stdout);
}

void
cli_error (const char *format, ...)
{
  va_list args;

  fputs ("burdockctl: ", stderr);
  va_start (args, format);
  vfprintf (stderr, format, args);
  va_end (args);
  fputc ('\n', stderr);
}

void
cli_print_json (const json_t *root)
{
  json_dumpf (root, stdout, JSON_INDENT (2));
  putchar ('\n');
}

const char *
cli_json_string (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text != NULL && text[0] != '\0' ? text : "-";
}

json_int_t
cli_json_integer (const json_t *object, const char *key)
{
  return json_integer_value (json_object_get (object, key));
}

int
cli_check_arguments (const char *command, int argc, int minimum, int maximum,
                     const char *usage)
{
  if (argc - 1 >= minimum && argc - 1 <= maximum)
    return 0;
  cli_error ("usage: %s %s", command, usage);
  return -EINVAL;
}

void
cli_parse_options (const struct argp *argp, int argc, char **argv, void *input)
{
  argp_parse (argp, argc, argv, 0, NULL, input);
}
