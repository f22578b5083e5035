#ifndef LUG_TEAM_LIMITS_H
#define LUG_TEAM_LIMITS_H

#include "core/resources.h"
#include "core/status.h"

#define LUG_WEIGHT_SUM 100
#define LUG_TEAMS_MAX 256
#define LUG_TEAM_NAME_MAX 32
#define LUG_LIMITS_BYTES_MAX (64 * 1024)

/**
 * struct lug_team - one row of the table of weights and limits
 * @name: team
 * @weight: share of the batch room when every team has tasks waiting, percent
 * @limit: most resources that the team's batch tasks may hold at once
 * @price: price of a core-hour
 */
struct lug_team {
	char name[LUG_TEAM_NAME_MAX + 1];
	gint64 weight;
	struct lug_resources limit;
	double price;
};

/**
 * struct lug_limits - one version of the table of weights and limits
 * @version: raised by one with each accepted edit
 * @teams: array of struct lug_team, in the order of the text
 * @text: the table as written
 *
 * Messages, commands and the documentation call it the table.
 */
struct lug_limits {
	gint64 version;
	GArray *teams;
	char *text;
};

struct lug_limits *lug_limits_parse(const char *text, gint64 version, struct lug_error *err);
void lug_limits_free(struct lug_limits *limits);
const struct lug_team *lug_limits_find(const struct lug_limits *limits, const char *team);
char *lug_limits_format(const struct lug_limits *limits);
enum lug_status lug_limits_check_successor(const struct lug_limits *old,
					   const struct lug_limits *next, struct lug_error *err);

#endif
