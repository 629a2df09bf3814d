package org.radishthread.daemon.control;

import org.radishthread.daemon.cluster.RulePropagation;
import org.radishthread.protocol.RulesAnswer;

/**
 * What became of submitted rules.
 *
 * @param answer the answer of the control group
 * @param spread how far the rules had come when the submission was answered
 */
public record RuleSubmissionResult(RulesAnswer answer, RulePropagation spread) {
}
