/**
 * DOC: story.h - records of one request, collected from the logs of all processes
 */
#ifndef BURDOCK_STORY_H
#define BURDOCK_STORY_H

#include <stdint.h>
#include <stdio.h>

typedef struct CliStory CliStory;

/**
 * cli_story_new() - starts to collect the records of the request with the attempt id @id
 * Release with cli_story_free().
 */
CliStory *cli_story_new (const char *id);
void cli_story_free (CliStory *story);

/**
 * cli_story_add() - adds one line of a log, in any order of time
 * Lines that are not log records are ignored.
 */
void cli_story_add (CliStory *story, const char *line);

/**
 * cli_story_print() - prints the records in the order of their times, then the cause
 *
 * The records are those about the request, marked with "*", and those about its upstreams
 * and dependencies at that time. The cause explains how the request ended.
 *
 * Returns the number of records about the request.
 */
uint32_t cli_story_print (CliStory *story, FILE *out);

#endif
