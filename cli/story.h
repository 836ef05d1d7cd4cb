/**
 * DOC: story.h - what the logs of all processes tell about one request
 */
#ifndef BURDOCK_STORY_H
#define BURDOCK_STORY_H

#include <stdint.h>
#include <stdio.h>

typedef struct CliStory CliStory;

/** cli_story_new() - story of the request with the attempt id @id */
CliStory *cli_story_new (const char *id);
void cli_story_free (CliStory *story);

/** cli_story_add() - takes one line of a log; others than log lines are ignored */
void cli_story_add (CliStory *story, const char *line);

/**
 * cli_story_print() - prints the lines about the request and about its upstreams in the
 * order of their times, then the cause of its end
 *
 * Returns the number of lines about the request.
 */
uint32_t cli_story_print (CliStory *story, FILE *out);

#endif
