package org.radishthread.daemon.control;

import org.radishthread.daemon.cluster.RulePropagation;
import org.radishthread.protocol.RulesAnswer;

/**
 * The result of a submission of rules.
 *
 * @param decision the decision of the control group
 * @param propagation the number of instances that had applied the rules when the
 * submission completed
 */
public record RuleSubmissionResult(RulesAnswer decision, RulePropagation propagation) {
}
