package org.radishthread.rules;

/**
 * Rule that one line of a rule file defines.
 */
sealed interface LineRule permits ServiceRule, RouteRule, WorkspaceRule, CallerLimits {

}
