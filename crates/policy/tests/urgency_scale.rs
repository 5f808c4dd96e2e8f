//! The rank of requests at engines by the priorities of workspaces and routes.

use expect_test::{Expect, expect};
use policy::{RequestPriority, UrgencyScale};

/// Checks the urgency of each route of each workspace: a line for each workspace.
fn check(workspaces: &[Option<u8>], routes: &[u8], expected: Expect) {
    let scale = UrgencyScale::new(workspaces.iter().copied(), routes.iter().copied());
    let urgency = |workspace, route| scale.urgency(RequestPriority { workspace, route });
    let line = |workspace: &Option<u8>| {
        let urgencies: Vec<_> = routes.iter().map(|it| urgency(*workspace, *it)).collect();
        format!("{workspace:?} {urgencies:?}")
    };
    let lines: Vec<_> = workspaces.iter().map(line).collect();
    expected.assert_eq(&lines.join("\n"));
}

/// Guards against a workspace's priority that hides the order of its routes from the engines.
#[test]
fn workspace_then_route() {
    check(
        &[Some(0), Some(1)],
        &[0, 1, 2],
        expect![[r#"
        Some(0) [0, 1, 2]
        Some(1) [3, 4, 5]"#]],
    );
}

/// Guards against ranks beyond the few levels of an engine when priorities have gaps.
#[test]
fn gaps_left_out() {
    check(
        &[Some(3), Some(200)],
        &[1, 5],
        expect![[r#"
        Some(3) [0, 1]
        Some(200) [2, 3]"#]],
    );
}

#[test]
fn no_workspace_priority() {
    check(&[None], &[0, 2, 5], expect!["None [0, 1, 2]"]);
}

/// A request of a workspace without a priority is ranked by its route among the others.
#[test]
fn some_workspace_priorities() {
    check(
        &[Some(1), None],
        &[0, 1, 2],
        expect![[r#"
        Some(1) [1, 2, 3]
        None [0, 2, 4]"#]],
    );
}

/// A caller without a workspace is ranked even if the scale has only workspaces with a priority.
#[test]
fn caller_without_workspace() {
    let scale = UrgencyScale::new([Some(0), Some(1)], [0, 2]);
    let anonymous = RequestPriority { workspace: None, route: 2 };
    assert_eq!(scale.urgency(anonymous), 4);
}
